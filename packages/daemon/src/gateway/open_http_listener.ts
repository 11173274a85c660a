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
  const server = createServer(options, handle);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.off("error", reject);
      resolve(server);
    });
  });
}
