import { createServer } from "node:http";
import type { RequestListener, Server, ServerOptions } from "node:http";
import { splitAddress } from "../common/split_address.ts";
import type { ConnectionGuard, ListenerName } from "../connections/mod.ts";

/** Options of {@link openHttpListener}. */
export interface HttpListenerOptions {
  /** `ip:port`. */
  readonly address: string;
  readonly name: ListenerName;
  readonly guard: ConnectionGuard;
  readonly server?: ServerOptions;
  readonly handle: RequestListener;
}

/** Opens an HTTP listener; rejects if listening on its address fails. */
export function openHttpListener(
  { address, name, guard, server: serverOptions, handle }: HttpListenerOptions,
): Promise<Server> {
  const { host, port } = splitAddress(address);
  // Without a Host header a request is refused by its handler: the check of the server itself reads
  // a limited number of header lines.
  const server = createServer(
    { requireHostHeader: false, ...serverOptions },
    guard.guardRequests(handle),
  );
  server.maxHeadersCount = 0; // their size is limited
  guard.watch(server, name);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.off("error", reject);
      resolve(server);
    });
  });
}
