import type { Journal } from "../common/journal.ts";
import type { ResolvedDaemonConfig } from "../config/mod.ts";
import { Buffer } from "node:buffer";
import { timingSafeEqual } from "node:crypto";
import fastify from "fastify";
import type { FastifyInstance } from "fastify";
import { stateDumpSchema } from "@crocussail/protocol";
import type { StateDump } from "@crocussail/protocol";

/** Options of {@link createOperatorServer}. */
export interface OperatorServerOptions {
  readonly config: ResolvedDaemonConfig;
  readonly incarnation: string;
  /** Functions by module that return its state dump, limited in size and without secrets. */
  readonly sections: Readonly<Record<string, () => unknown>>;
  readonly journal: Journal;
  readonly isReady: () => boolean;
}

const UNAUTHENTICATED_ROUTES = new Set(["/health", "/ready"]);

/** Creates the operators' HTTP server: state, health, readiness and decisions of a request. */
export function createOperatorServer(options: OperatorServerOptions): FastifyInstance {
  const { config } = options;
  const server = fastify({ forceCloseConnections: true, bodyLimit: 1 });
  server.addHook("onRequest", (request, reply, done) => {
    const isAllowed = UNAUTHENTICATED_ROUTES.has(request.url) ||
      isTokenEqual(request.headers.authorization, config.operator.token);
    if (isAllowed) {
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
  server.get("/state", () => collectState(options));
  server.get<{ Params: { id: string } }>("/explain/:id", (request, reply) => {
    const entries = options.journal.listEntries(request.params.id);
    if (entries.length > 0) {
      return { request: request.params.id, host: config.host.name, entries };
    }
    const error = `no decisions of request "${request.params.id}" on this host; ` +
      "query the host that served the request, soon after its response";
    return reply.code(404).send({ error });
  });
  return server;
}

function collectState(options: OperatorServerOptions): StateDump {
  const { config, incarnation } = options;
  const sections = Object.entries(options.sections).map(([name, dump]) => [name, dump()]);
  return stateDumpSchema.parse({
    host: config.host.name,
    dataCentre: config.host.dataCentre,
    incarnation,
    ready: options.isReady(),
    slices: Object.fromEntries(sections),
  });
}

function isTokenEqual(header: string | undefined, token: string): boolean {
  const received = Buffer.from(header ?? "");
  const expected = Buffer.from(`Bearer ${token}`);
  return received.length === expected.length && timingSafeEqual(received, expected);
}
