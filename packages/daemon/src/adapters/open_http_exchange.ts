import { connect } from "node:net";
import { Client } from "undici";
import type { Dispatcher } from "undici";
import { splitAddress } from "../common/split_address.ts";
import { normalizeStatusText } from "./normalize_status_text.ts";
import { startConnectTimer } from "./start_connect_timer.ts";
import type { OpenUpstreamExchange } from "./upstream_exchange.ts";
import { watchConnectionLoss } from "./watch_connection_loss.ts";
import { watchFramingBytes } from "./watch_framing_bytes.ts";

const LATIN1 = "latin1";

/**
 * Sends one request on a new connection and closes it after the response, so that late or surplus
 * bytes from an upstream cannot be mistaken for the response to another request. A request that
 * cannot be sent fails; nothing is thrown.
 */
export const openHttpExchange: OpenUpstreamExchange = (request, handler) => {
  const { host, port } = splitAddress(request.address);
  let isSent = false;
  let isFinished = false;
  let bodyBytes = 0;
  let client: Client | undefined;
  let readConnectionLoss: () => string | undefined = () => undefined;

  const createClient = () =>
    new Client(`http://${request.address}`, {
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (_options, callback) => {
        const socket = connect({ host, port, noDelay: true });
        const cancelTimer = startConnectTimer(
          request.connectTimeoutMs,
          () => socket.destroy(new Error("connection timed out")),
        );
        const settle = (error: Error | null) => {
          cancelTimer();
          socket.off("connect", handleConnect).off("error", settle);
          if (error === null) {
            readConnectionLoss = watchConnectionLoss(socket);
            watchFramingBytes(
              socket,
              () => bodyBytes,
              (reason) => finish(() => handler.fail(isSent, reason)),
            );
            callback(null, socket);
          } else {
            callback(error, null);
          }
        };
        const handleConnect = () => settle(null);
        socket.once("connect", handleConnect).once("error", settle);
      },
    });
  const finish = (notifyHandler: () => void) => {
    if (isFinished) {
      return;
    }
    isFinished = true;
    client?.destroy().catch(() => {}); // errors do not matter: the connection is discarded
    notifyHandler();
  };

  const dispatchRequest = () => {
    client = createClient();
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
      onResponseStart: (controller, status, _headers, statusText) => {
        if (!isFinished && status >= 200) {
          const raw = (controller.rawHeaders ?? []) as readonly (Buffer | string)[];
          const headers = raw.map((part) =>
            typeof part === "string" ? part : part.toString(LATIN1)
          );
          handler.receiveHead(status, normalizeStatusText(status, statusText ?? ""), headers);
        }
      },
      onResponseData: (_controller, chunk) => {
        bodyBytes += chunk.length;
        if (!isFinished) {
          handler.receiveData(chunk);
        }
      },
      onResponseEnd: () =>
        finish(() => {
          const loss = readConnectionLoss();
          loss === undefined ? handler.end() : handler.fail(isSent, loss);
        }),
      onResponseError: (_controller, error) => finish(() => handler.fail(isSent, error.message)),
    });
  };

  try {
    dispatchRequest();
  } catch (error) {
    finish(() => handler.fail(isSent, (error as Error).message));
  }
  return {
    abort: () => finish(() => {}),
    hasSent: () => isSent,
  };
};
