import type { IncomingMessage } from "node:http";
import { FORWARDING_LIMITS } from "./constants.ts";

/**
 * Reads the rest of a body that is not needed, so that its caller receives the response, and closes
 * the connection if the body goes on.
 */
export function dropBody(incoming: IncomingMessage): void {
  let size = 0;
  incoming.on("data", (chunk: Uint8Array) => {
    size += chunk.length;
    if (size > FORWARDING_LIMITS.maxDroppedBytes) {
      incoming.socket.destroy();
    }
  });
  incoming.resume();
}
