import { createResultError } from "@crocussail/protocol";
import type { Logger } from "@crocussail/protocol";
import fastify from "fastify";
import type { FastifyError, FastifyInstance } from "fastify";
import { sendProblem } from "./send_problem.ts";

/** Options of {@link createCallerServer}. */
export interface CallerServerOptions {
  readonly logger: Logger;
  readonly maxBodyBytes: number;
  /** Returns the id of the next request. */
  readonly createRequestId: () => string;
}

/** Creates the HTTP server for callers; slices register their routes on it. */
export function createCallerServer(options: CallerServerOptions): FastifyInstance {
  const server = fastify({
    bodyLimit: options.maxBodyBytes,
    genReqId: options.createRequestId,
    forceCloseConnections: true,
  });
  server.addHook("onRequest", (request, reply, done) => {
    reply.header("x-request-id", request.id);
    done();
  });
  server.setNotFoundHandler((request, reply) =>
    sendProblem(reply, createResultError("notFound", `no resource at ${request.url}`))
  );
  server.setErrorHandler((error: FastifyError, request, reply) => {
    const status = error.statusCode ?? 500;
    if (status === 413) {
      return sendProblem(reply, createResultError("bodyTooLarge", error.message));
    }
    if (status < 500) {
      return sendProblem(reply, createResultError("invalidRequest", error.message));
    }
    options.logger.writeEvent("requestFailed", { request: request.id, error: String(error) });
    return sendProblem(reply, createResultError("internalFault", `request ${request.id}`));
  });
  return server;
}
