import type { Socket } from "node:net";
import { CONNECTION_LIMITS } from "./constants.ts";

/**
 * Has the bytes of a server's connection parsed in small parts. What was read of a connection that
 * is closed or paused meanwhile is not parsed, or later. `recordPart` is called before each part.
 */
export function splitReads(socket: Socket, recordPart: (bytes: number) => void): void {
  const [parse, ...others] = socket.listeners("data") as ((bytes: Buffer) => void)[];
  if (parse === undefined || others.length > 0) {
    throw new Error("the HTTP server does not read its connections through one listener");
  }
  socket.off("data", parse);
  socket.on("data", (bytes: Buffer) => {
    for (let start = 0; start < bytes.length; start += CONNECTION_LIMITS.parsedBytes) {
      if (socket.destroyed) {
        return;
      }
      if (socket.isPaused()) {
        socket.unshift(bytes.subarray(start));
        return;
      }
      const part = bytes.subarray(start, start + CONNECTION_LIMITS.parsedBytes);
      recordPart(part.length);
      if (socket.destroyed) {
        return;
      }
      parse(part);
    }
  });
}
