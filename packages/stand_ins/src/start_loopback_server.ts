import type { FastifyInstance } from "fastify";
import type { StandInServer } from "./stand_in_server.ts";

/** Starts a server on a free loopback port, or on `port` when given. */
export async function startLoopbackServer(
  server: FastifyInstance,
  port = 0,
): Promise<StandInServer> {
  const url = await server.listen({ host: "127.0.0.1", port });
  const close = async () => {
    server.server.closeAllConnections();
    await server.close();
  };
  return { url, close };
}
