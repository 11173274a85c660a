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

type OpenStreamResult = Either<ResultError, EngineStream>;

const OK = 200;
/** Shared by all closes: creating an error with its stack trace costs more than the close. */
const CLOSED = new Error("stream closed by the relay");

/** Sends a request to an engine and returns its event stream once the status line is received. */
export function openEngineStream(options: OpenEngineStreamOptions): Promise<OpenStreamResult> {
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

/** Feeds a response into an event queue; any connection or format error ends the queue. */
function createHandler(
  options: OpenEngineStreamOptions,
  settle: (result: OpenStreamResult) => void,
): Dispatcher.DispatchHandler {
  const { limits, origin, method } = options;
  const decoder = new StringDecoder("utf8");
  let controller: Dispatcher.DispatchController | undefined;
  let remainder = "";
  let isFinished = false;
  let isEnded = false;
  const abort = () => {
    if (!isEnded) {
      controller?.abort(CLOSED);
    }
  };
  /** After a finish event the engine ends the response itself, so the connection can be reused. */
  const closeSource = () => {
    if (isFinished && !isEnded) {
      setTimeout(abort, limits.endTimeoutMs).unref();
      return;
    }
    abort();
  };
  const queue = createEventQueue({
    maxEvents: limits.maxQueuedEvents,
    pauseSource: () => controller?.pause(),
    resumeSource: () => controller?.resume(),
    closeSource,
  });
  return {
    onRequestStart: (requestController) => {
      controller = requestController;
    },
    onResponseStart: (_controller, status) => {
      if (status === OK) {
        settle(Right(queue.stream));
        return;
      }
      settle(Left(describeEngineStatus(origin, method, status)));
      abort();
    },
    onResponseData: (_controller, chunk) => {
      const decoded = decodeEngineEvents(remainder + decoder.write(chunk), limits.maxEventLength);
      remainder = decoded.remainder;
      if (decoded.events.length > 0) {
        isFinished = decoded.events.at(-1)?.finish !== undefined;
        queue.pushEvents(decoded.events);
      }
      if (decoded.isMalformed) {
        queue.end();
        abort();
      }
    },
    onResponseEnd: () => {
      isEnded = true;
      queue.end();
    },
    onResponseError: (_controller, error) => {
      isEnded = true;
      settle(Left(describeEngineFailure(origin, error)));
      queue.end();
    },
  };
}
