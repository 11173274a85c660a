import { createResultError } from "@crocussail/protocol";
import type { Clock, Logger, Metrics, Problem } from "@crocussail/protocol";
import fastify from "fastify";
import type { FastifyError, FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import type { Journal } from "../common/journal.ts";
import type { CallerLimits } from "./caller_limits.ts";
import { CALLER_LIMITS } from "./constants.ts";
import { sendProblem } from "./send_problem.ts";
import type { TlsMaterial } from "./tls_material.ts";

/** Options of {@link createCallerServer}. */
export interface CallerServerOptions {
  readonly clock: Clock;
  /** Records the problems sent to callers, for `/explain/:id`. */
  readonly journal: Journal;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Reads the active body limit, in bytes; never above the hard limit. */
  readonly readMaxBodyBytes: () => number;
  /** Returns the id of the next request. */
  readonly createRequestId: () => string;
  /** Overrides individual limits. */
  readonly limits?: Partial<CallerLimits>;
  /** Certificate and key; if absent, the server uses plain HTTP. */
  readonly tls?: TlsMaterial;
}

const PROBLEM_TYPE = "application/problem+json";
/** Creates the HTTP server for callers; modules register their routes on it. */
export function createCallerServer(options: CallerServerOptions): FastifyInstance {
  const limits: CallerLimits = { ...CALLER_LIMITS, ...options.limits };
  const httpOptions = {
    maxHeaderSize: limits.maxHeaderBytes,
    connectionsCheckingInterval: limits.checkIntervalMs,
  };
  const server = fastify({
    bodyLimit: limits.maxBodyBytes,
    requestTimeout: limits.requestTimeoutMs,
    keepAliveTimeout: limits.keepAliveMs,
    genReqId: options.createRequestId,
    forceCloseConnections: true,
    http: httpOptions,
    https: options.tls === undefined ? null : { ...options.tls, ...httpOptions },
    // Cast: plain and TLS servers have different types, but both can register the same routes.
  } as object) as unknown as FastifyInstance;
  server.server.maxConnections = limits.maxConnections;
  server.server.headersTimeout = limits.headersTimeoutMs;
  server.addHook("onRequest", (request, reply, done) => {
    reply.header("x-request-id", request.id);
    done();
  });
  server.addHook("preParsing", (request, reply, payload, done) => {
    const declared = Number(request.headers["content-length"] ?? 0);
    if (declared > options.readMaxBodyBytes()) {
      const detail = `${declared} bytes; the limit is ${options.readMaxBodyBytes()}`;
      sendProblem(reply, createResultError("bodyTooLarge", detail));
      return;
    }
    done(null, payload);
  });
  registerRequestMetrics(server, options);
  registerProblemRecords(server, options.journal);
  server.setNotFoundHandler((request, reply) =>
    sendProblem(reply, createResultError("notFound", `no resource at ${request.url}`))
  );
  server.setErrorHandler((error: FastifyError, request, reply) =>
    sendErrorAsProblem({ error, request, reply, logger: options.logger })
  );
  return server;
}

function registerRequestMetrics(server: FastifyInstance, options: CallerServerOptions): void {
  const { clock, metrics } = options;
  const startTimes = new WeakMap<FastifyRequest, number>();
  server.addHook("onRequest", (request, reply, done) => {
    startTimes.set(request, clock.readMonotonicMs());
    reply.raw.once("close", () => {
      const route = request.routeOptions.url ?? "none";
      const startMs = startTimes.get(request) ?? clock.readMonotonicMs();
      metrics.increment("requests", 1, { route, status: String(reply.raw.statusCode) });
      metrics.distribution("request.duration", clock.readMonotonicMs() - startMs, { route });
    });
    done();
  });
}

function registerProblemRecords(server: FastifyInstance, journal: Journal): void {
  server.addHook("onSend", (request, reply, payload, done) => {
    if (String(reply.getHeader("content-type")).startsWith(PROBLEM_TYPE)) {
      const { code, detail, ran } = JSON.parse(String(payload)) as Problem;
      journal.recordDecision(request.id, "http", "problem", { code, detail, ran });
    }
    done(null, payload);
  });
}

interface FailedRequest {
  readonly error: FastifyError;
  readonly request: FastifyRequest;
  readonly reply: FastifyReply;
  readonly logger: Logger;
}

function sendErrorAsProblem({ error, request, reply, logger }: FailedRequest): FastifyReply {
  const status = error.statusCode ?? 500;
  if (status === 413) {
    return sendProblem(reply, createResultError("bodyTooLarge", error.message));
  }
  if (status < 500) {
    return sendProblem(reply, createResultError("invalidRequest", error.message));
  }
  logger.writeEvent("requestFailed", { request: request.id, error: String(error) });
  return sendProblem(reply, createResultError("internalFault", `request ${request.id}`));
}
