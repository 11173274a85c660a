import type { ResolvedDaemonConfig } from "../config/mod.ts";
import { Buffer } from "node:buffer";
import { timingSafeEqual } from "node:crypto";
import fastify from "fastify";
import type { FastifyInstance } from "fastify";

/** Options of {@link createStateDump}. */
export interface StateDumpOptions {
  readonly config: ResolvedDaemonConfig;
  readonly incarnation: string;
  /** Bounded dump of each slice, without secrets. */
  readonly sections: Readonly<Record<string, () => unknown>>;
  readonly isReady: () => boolean;
}

/** Creates the operators' HTTP server: state, health and readiness. */
export function createStateDump(options: StateDumpOptions): FastifyInstance {
  const server = fastify({ forceCloseConnections: true });
  server.addHook("onRequest", (request, reply, done) => {
    const isOpen = request.url === "/health" || request.url === "/ready";
    if (isOpen || isTokenEqual(request.headers.authorization, options.config.operator.token)) {
      done();
      return;
    }
    reply.code(401).send({ error: "operator token is missing or wrong" });
  });
  server.get("/health", () => ({ status: "ok" }));
  server.get("/ready", (_request, reply) => {
    const isReady = options.isReady();
    return reply.code(isReady ? 200 : 503).send({ ready: isReady });
  });
  server.get("/state", () => ({
    host: options.config.host.name,
    incarnation: options.incarnation,
    ...Object.fromEntries(
      Object.entries(options.sections).map(([name, dump]) => [name, dump()]),
    ),
  }));
  return server;
}

function isTokenEqual(header: string | undefined, token: string): boolean {
  const given = Buffer.from(header ?? "");
  const wanted = Buffer.from(`Bearer ${token}`);
  return given.length === wanted.length && timingSafeEqual(given, wanted);
}
