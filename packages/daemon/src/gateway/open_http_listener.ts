import { createServer } from "node:http";
import type { RequestListener, Server, ServerOptions } from "node:http";
import { splitAddress } from "../common/split_address.ts";

/** Opens an HTTP listener on `ip:port`; rejects if listening on the address fails. */
export function openHttpListener(
  address: string,
  options: ServerOptions,
  handle: RequestListener,
): Promise<Server> {
  const { host, port } = splitAddress(address);
  // Without a Host header a request is refused by its handler: the check of the server itself reads
  // a limited number of header lines.
  const server = createServer({ requireHostHeader: false, ...options }, handle);
  server.maxHeadersCount = 0; // their size is limited
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.off("error", reject);
      resolve(server);
    });
  });
}
