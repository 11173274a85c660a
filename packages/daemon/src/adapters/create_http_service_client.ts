import { createResultError } from "@crocussail/protocol";
import { Left, Right } from "purify-ts";
import { buildConnector, Client } from "undici";
import type { ServiceClient, ServiceRequest, ServiceResponse } from "./service_client.ts";
import { watchConnectionLoss } from "./watch_connection_loss.ts";

/** Options of {@link createHttpServiceClient}. */
export interface HttpServiceClientOptions {
  /** Connect timeout in milliseconds; the timeout of the call also limits it. */
  readonly connectTimeoutMs?: number;
  /** Largest response body, in bytes; a larger one fails the call with `ran: "unknown"`. */
  readonly maxAnswerBytes?: number;
}

const CONNECT_TIMEOUT_MS = 1_000;
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
const MAX_HEADER_BYTES = 16 * 1024;
/** Response headers returned to callers, also to a call repeated with the same key. */
const RETURNED_HEADERS = ["content-type", "location", "etag", "retry-after", "cache-control"];

/** Creates a client for plain services over HTTP. */
export function createHttpServiceClient(options: HttpServiceClientOptions = {}): ServiceClient {
  const maxAnswerBytes = options.maxAnswerBytes ?? MAX_ANSWER_BYTES;
  const connectTimeoutMs = options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS;
  return {
    callService: async (url, call) => {
      // If no connection was opened, no byte of the call can have been written.
      let connectionCount = 0;
      let readConnectionLoss: () => string | undefined = () => undefined;
      const connect = buildConnector({ timeout: Math.min(connectTimeoutMs, call.timeoutMs) });
      const connectOnce: buildConnector.connector = (target, callback) => {
        if (connectionCount > 0) {
          callback(new Error("the connection closed before the response was complete"), null);
          return;
        }
        connect(target, (...args) => {
          if (args[0] === null) {
            connectionCount++;
            readConnectionLoss = watchConnectionLoss(args[1]);
          }
          callback(...args);
        });
      };
      let client: Client | undefined;
      try {
        client = new Client(url, {
          pipelining: 0,
          connect: connectOnce,
          maxHeaderSize: MAX_HEADER_BYTES,
          maxResponseSize: maxAnswerBytes,
        });
        const response = await sendCall(client, call);
        const loss = readConnectionLoss();
        if (loss !== undefined) {
          throw new Error(loss);
        }
        return Right(response);
      } catch (error) {
        const ran = connectionCount === 0 ? "no" : "unknown";
        return Left(createResultError("orderOutcomeUnknown", `${url}: ${error}`, { ran }));
      } finally {
        await client?.destroy();
      }
    },
  };
}

async function sendCall(client: Client, call: ServiceRequest): Promise<ServiceResponse> {
  const answer = await client.request({
    method: call.method as "GET",
    path: call.path,
    headers: call.headers,
    body: call.body.length === 0 ? null : call.body,
    signal: AbortSignal.timeout(call.timeoutMs),
  });
  const body = new Uint8Array(await answer.body.arrayBuffer());
  const headers = RETURNED_HEADERS.flatMap((name) => {
    const value = answer.headers[name];
    return value === undefined ? [] : [[name, String(value)]];
  });
  return { status: answer.statusCode, headers: Object.fromEntries(headers), body };
}
