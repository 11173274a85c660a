import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";

/** Codes of failures before the first byte of the request was sent. */
const NOT_CONNECTED = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Converts a failed HTTP call to an engine into a result error with its execution state. */
export function describeEngineFailure(url: string, error: unknown): ResultError {
  const code = (error as { code?: string } | null)?.code ?? "";
  return NOT_CONNECTED.has(code)
    ? createResultError("upstreamUnreachable", `${url}: ${error}`)
    : createResultError("upstreamLost", `${url}: ${error}`, { ran: "unknown" });
}
