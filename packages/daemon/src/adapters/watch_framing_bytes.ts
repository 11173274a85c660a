import type { Socket } from "node:net";
import { EXCHANGE_LIMITS } from "./exchange_limits.ts";

/**
 * Calls `reject` once when a socket has received more bytes beside the body of a response than any
 * response needs: in its head, informational responses, chunk sizes, extensions and trailers. The
 * parser bounds only the headers. Has to be called before the parser reads from the socket.
 */
export function watchFramingBytes(
  socket: Socket,
  readBodyBytes: () => number,
  reject: (reason: string) => void,
): void {
  const { maxFramingBytes, framingBytesPerBodyByte } = EXCHANGE_LIMITS;
  const check = () => {
    const bodyBytes = readBodyBytes();
    const framingBytes = socket.bytesRead - bodyBytes;
    if (framingBytes > maxFramingBytes + bodyBytes * framingBytesPerBodyByte) {
      socket.off("readable", check);
      reject(`response has more than ${maxFramingBytes} bytes beside its body`);
    }
  };
  socket.on("readable", check);
}
