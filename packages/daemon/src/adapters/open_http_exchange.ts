import { connect } from "node:net";
import { Client } from "undici";
import type { Dispatcher } from "undici";
import { splitAddress } from "../common/split_address.ts";
import type { OpenUpstreamExchange } from "./upstream_exchange.ts";

const LATIN1 = "latin1";

/**
 * Sends one request on a fresh connection and closes it after the answer: nothing that an upstream
 * sends late or in excess can be taken for the answer to another request.
 */
export const openHttpExchange: OpenUpstreamExchange = (request, handler) => {
  const { host, port } = splitAddress(request.address);
  let isSent = false;
  let isOver = false;
  // undici takes what came before a reset for the whole of a body without a length.
  let brokenBy: string | undefined;

  const client = new Client(`http://${request.address}`, {
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: (_options, callback) => {
      const socket = connect({ host, port, noDelay: true });
      const timer = setTimeout(
        () => socket.destroy(new Error("connection timed out")),
        request.connectTimeoutMs,
      );
      const settle = (error: Error | null) => {
        clearTimeout(timer);
        socket.off("connect", handleConnect).off("error", settle);
        if (error === null) {
          socket.once("error", (broken) => {
            brokenBy = broken.message;
          });
          // A reset that is polled together with bytes is reported as a plain end; the peer's
          // address is gone all the same.
          socket.once("end", () => {
            if (socket.remoteAddress === undefined) {
              brokenBy = "connection was reset";
            }
          });
          callback(null, socket);
        } else {
          callback(error, null);
        }
      };
      const handleConnect = () => settle(null);
      socket.once("connect", handleConnect).once("error", settle);
    },
  });
  const finish = (call: () => void) => {
    if (isOver) {
      return;
    }
    isOver = true;
    client.destroy().catch(() => {}); // the connection is being thrown away
    call();
  };

  const dispatchRequest = () =>
    client.dispatch({
      path: request.target,
      method: request.method as Dispatcher.HttpMethod,
      headers: [...request.headers],
      body: request.body === undefined ? null : Buffer.from(request.body),
      reset: true,
    }, {
      onRequestStart: () => {
        isSent = true;
      },
      onResponseStart: (started, status, _headers, statusText) => {
        if (!isOver && status >= 200) {
          const raw = (started.rawHeaders ?? []) as readonly (Buffer | string)[];
          const headers = raw.map((part) =>
            typeof part === "string" ? part : part.toString(LATIN1)
          );
          handler.receiveHead(status, statusText ?? "", headers);
        }
      },
      onResponseData: (_controller, chunk) => {
        if (!isOver) {
          handler.receiveData(chunk);
        }
      },
      onResponseEnd: () =>
        finish(() => brokenBy === undefined ? handler.end() : handler.fail(isSent, brokenBy)),
      onResponseError: (_controller, error) => finish(() => handler.fail(isSent, error.message)),
    });

  try {
    dispatchRequest();
  } catch (error) {
    finish(() => handler.fail(isSent, (error as Error).message));
  }
  return {
    abort: () => finish(() => {}),
  };
};
