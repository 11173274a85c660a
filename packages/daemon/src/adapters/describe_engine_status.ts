import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";

const NOT_FOUND = 404;
const CONFLICT = 409;
const UNAVAILABLE = 503;
const FIRST_SERVER_ERROR = 500;

/**
 * Converts a status other than 200 into a result error. With a client error or 503 the engine has
 * refused the request, so it was not executed. With 409 the id is already in use; for 409 and other
 * server errors it is unknown whether the request was executed.
 */
export function describeEngineStatus(url: string, method: string, status: number): ResultError {
  const detail = `${url}: status ${status}`;
  if (method === "GET" && status === NOT_FOUND) {
    return createResultError("generationUnknown", detail);
  }
  const isRefusal = status === UNAVAILABLE || (status < FIRST_SERVER_ERROR && status !== CONFLICT);
  return isRefusal
    ? createResultError("upstreamRefused", detail)
    : createResultError("upstreamLost", detail, { ran: "unknown" });
}
