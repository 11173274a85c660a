import type { Socket } from "node:net";

/**
 * Watches a connected socket; the returned function reads the reason of its loss, undefined while
 * it is open and after a normal end. undici treats the bytes received before a reset as the complete
 * body if the response has no length.
 */
export function watchConnectionLoss(socket: Socket): () => string | undefined {
  let loss: string | undefined;
  socket.on("error", (error: NodeJS.ErrnoException) => {
    // undici destroys the socket of a complete response with an error that has no number.
    if (error.errno !== undefined) {
      loss = error.message;
    }
  });
  // libuv reports a reset that it polls together with bytes as a normal end of the stream; the
  // remote address is then undefined.
  socket.once("end", () => {
    if (socket.remoteAddress === undefined) {
      loss = "connection was reset";
    }
  });
  return () => loss;
}
