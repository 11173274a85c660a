import fastify from "fastify";
import { startLoopbackServer } from "../start_loopback_server.ts";
import type { StandInServer } from "../stand_in_server.ts";

/** Fake plain service that counts how often each order ran. */
export interface PlainService extends StandInServer {
  /** Runs of each order by the `order` member of its body. */
  listRuns(): ReadonlyMap<string, number>;
}

/** Starts a fake plain service: every `POST` runs an order, every `GET` reads. */
export async function createPlainService(options: { port?: number } = {}): Promise<PlainService> {
  const runs = new Map<string, number>();
  const server = fastify();
  server.post("/*", (request, reply) => {
    const { order } = request.body as { order: string };
    const count = (runs.get(order) ?? 0) + 1;
    runs.set(order, count);
    reply.code(201);
    return { order, booking: `B-${runs.size}` };
  });
  server.get("/*", () => ({ containers: 42 }));
  const started = await startLoopbackServer(server, options.port);
  return { ...started, listRuns: () => runs };
}
