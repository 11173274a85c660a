import type { ResultError } from "@crocussail/protocol";
import { StringDecoder } from "node:string_decoder";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import type { Agent, Dispatcher } from "undici";
import { createEventQueue } from "./create_event_queue.ts";
import { decodeEngineEvents } from "./decode_engine_events.ts";
import { describeEngineFailure } from "./describe_engine_failure.ts";
import { describeEngineStatus } from "./describe_engine_status.ts";
import type { EngineStream } from "./engine_client.ts";
import type { HttpEngineLimits } from "./http_engine_defaults.ts";

/** Options of {@link openEngineStream}. */
export interface OpenEngineStreamOptions {
  readonly agent: Agent;
  readonly limits: HttpEngineLimits;
  readonly origin: string;
  readonly path: string;
  readonly method: "GET" | "POST";
  /** JSON text. */
  readonly body?: string;
}

type OpenedStream = Either<ResultError, EngineStream>;

const OK = 200;

/** Sends a request to an engine and returns its event stream once the status line is there. */
export function openEngineStream(options: OpenEngineStreamOptions): Promise<OpenedStream> {
  return new Promise((resolve) => {
    options.agent.dispatch({
      origin: options.origin,
      path: options.path,
      method: options.method,
      headers: { "content-type": "application/json" },
      ...(options.body === undefined ? {} : { body: options.body }),
    }, createHandler(options, resolve));
  });
}

/** Feeds a response into an event queue; any fault of the link ends the queue. */
function createHandler(
  options: OpenEngineStreamOptions,
  settle: (opened: OpenedStream) => void,
): Dispatcher.DispatchHandler {
  const { limits, origin, method } = options;
  const decoder = new StringDecoder("utf8");
  let controller: Dispatcher.DispatchController | undefined;
  let rest = "";
  const closeSource = () => controller?.abort(new Error("stream closed by the relay"));
  const queue = createEventQueue({
    maxEvents: limits.maxQueuedEvents,
    pauseSource: () => controller?.pause(),
    resumeSource: () => controller?.resume(),
    closeSource,
  });
  return {
    onRequestStart: (started) => {
      controller = started;
    },
    onResponseStart: (_controller, status) => {
      if (status === OK) {
        settle(Right(queue.stream));
        return;
      }
      settle(Left(describeEngineStatus(origin, method, status)));
      closeSource();
    },
    onResponseData: (_controller, chunk) => {
      const decoded = decodeEngineEvents(rest + decoder.write(chunk), limits.maxEventLength);
      rest = decoded.rest;
      if (decoded.events.length > 0) {
        queue.pushEvents(decoded.events);
      }
      if (decoded.isMalformed) {
        queue.end();
        closeSource();
      }
    },
    onResponseEnd: () => queue.end(),
    onResponseError: (_controller, error) => {
      settle(Left(describeEngineFailure(origin, error)));
      queue.end();
    },
  };
}
