import { createProblem, createResultError } from "@crocussail/protocol";
import type { ResultCodeName } from "@crocussail/protocol";
import { STATUS_CODES } from "node:http";
import type { ServerResponse } from "node:http";
import type { DeploymentDialect } from "../adapters/deployment_dialect.ts";
import type { CallerReply } from "./caller_reply.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import { removeHopByHopHeaders } from "../common/remove_hop_by_hop_headers.ts";

/** Options of {@link createCallerReply}. */
export interface CallerReplyOptions {
  readonly response: ServerResponse;
  readonly dialect: DeploymentDialect;
  /** Whether this host is draining; the connection is then closed after the response. */
  readonly isLeaving: () => boolean;
  /** Called after bytes of a body were written to the connection. */
  readonly recordWritten: (bytes: number) => void;
  /** Called before this host sends a problem document. */
  readonly recordRefusal: (code: ResultCodeName, detail: string, retryAfterMs: number) => void;
  /** Lists headers that are added to a response; `code` is that of a problem document. */
  readonly listOwnHeaders?: (code: ResultCodeName | undefined) => readonly string[];
}

/** Wraps an HTTP response as the reply to one caller. */
export function createCallerReply(options: CallerReplyOptions): CallerReply {
  const { response, dialect, listOwnHeaders = () => [] } = options;
  let hasEnded = false;
  /** Throws if the head cannot be sent; another one can be sent then. */
  const writeHead = (status: number, statusText: string, headers: readonly string[]) => {
    response.sendDate = false;
    if (options.isLeaving()) {
      response.shouldKeepAlive = false;
    }
    response.writeHead(status, statusText, [...headers]);
  };
  const startStream: CallerReply["startStream"] = (status, statusText, rawHeaders) =>
    writeHead(status, statusText, [
      ...removeHopByHopHeaders(rawHeaders, ["content-length"]),
      ...listOwnHeaders(undefined),
    ]);
  return {
    startStream,
    sendResponse: (status, statusText, rawHeaders, body) => {
      if (hasEnded) {
        return;
      }
      const headers = removeHopByHopHeaders(rawHeaders, ["content-length"]);
      const hasBody = status !== 204 && status !== 304;
      const length = hasBody ? ["Content-Length", String(body.length)] : [];
      writeHead(status, statusText, [...headers, ...length, ...listOwnHeaders(undefined)]);
      hasEnded = true;
      response.end(body);
      options.recordWritten(body.length);
    },
    sendChunk: (chunk) => {
      response.write(chunk);
      options.recordWritten(chunk.length);
      return response.writableLength <= FORWARDING_LIMITS.maxUnsentBytes;
    },
    endStream: () => {
      hasEnded = true;
      response.end();
    },
    refuse: (code, detail, retryAfterMs) => {
      if (hasEnded) {
        return;
      }
      const advice = retryAfterMs === undefined ? {} : { retryAfterMs };
      const problem = createProblem(createResultError(code, detail, advice));
      const body = Buffer.from(JSON.stringify(problem));
      // The status text is given, as the response keeps that of a head which could not be sent.
      writeHead(problem.status, STATUS_CODES[problem.status] ?? "", [
        "Content-Type",
        "application/problem+json",
        "Content-Length",
        String(body.length),
        ...(retryAfterMs === undefined ? [] : dialect.encodeRetryAdvice(retryAfterMs)),
        ...listOwnHeaders(code),
      ]);
      hasEnded = true;
      options.recordRefusal(code, detail, retryAfterMs ?? 0);
      response.end(body);
    },
    abort: () => {
      hasEnded = true;
      if (response.headersSent && !response.chunkedEncoding) {
        // Without chunks the end of the connection marks the end of the body; only a reset does not.
        response.socket?.resetAndDestroy();
      }
      response.destroy();
    },
    onDisconnect: (callback) => {
      response.once("close", () => {
        if (!hasEnded) {
          hasEnded = true;
          callback();
        }
      });
    },
    hasStarted: () => response.headersSent,
    hasEnded: () => hasEnded,
  };
}
