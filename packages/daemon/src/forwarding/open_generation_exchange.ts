import type { KvCacheSource } from "../adapters/deployment_dialect.ts";
import type { UpstreamExchange } from "../adapters/upstream_exchange.ts";
import { createBoundedBuffer } from "../common/create_bounded_buffer.ts";
import { decideOutcome } from "../retries/mod.ts";
import type { AnswerHead, AttemptOutcome } from "../retries/mod.ts";
import type { Upstream } from "../upstreams/mod.ts";
import type { CollectedAnswer } from "./collect_answer.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import type { ForwardedRequest } from "./forwarded_request.ts";
import type { ForwardingContext } from "./forwarding_context.ts";

/** The reason why no stream started, with the response if the upstream sent one. */
export interface StartFailure extends CollectedAnswer {
  readonly outcome: Exclude<AttemptOutcome, "answered">;
}

/** Receives a generation's stream: only `refuse`, or `start` followed by `end` or `fail`. */
export interface GenerationHandler {
  start(status: number, statusText: string, rawHeaders: readonly string[]): void;
  receiveData(chunk: Uint8Array): void;
  end(): void;
  fail(reason: string): void;
  /** No stream started: a response without a stream, or no complete response. */
  refuse(failure: StartFailure): void;
}

/** Options of {@link openGenerationExchange}. */
export interface GenerationExchangeOptions {
  readonly request: ForwardedRequest;
  readonly upstream: Upstream;
  readonly backupTarget: Upstream | undefined;
  readonly resumeFrom?: KvCacheSource;
  readonly lastEventId: number | undefined;
}

/** Sends a request to start or resume a generation to an upstream. */
export function openGenerationExchange(
  context: Pick<ForwardingContext, "openExchange" | "dialect" | "clock" | "answerBudget">,
  options: GenerationExchangeOptions,
  handler: GenerationHandler,
): UpstreamExchange {
  const { dialect } = context;
  const { request, upstream, backupTarget, resumeFrom, lastEventId } = options;
  // On a resumable route a caller's id that is not a whole number is not passed on.
  const ownEventId = request.route.isResumable ? { lastEventId: "none" } as const : {};
  let answer = { status: 0, statusText: "", rawHeaders: [] as readonly string[] };
  let head: AnswerHead | undefined;
  let hasStarted = false;
  const buffer = createBoundedBuffer(context.answerBudget, FORWARDING_LIMITS.maxAnswerBytes);
  const refuse = (outcome: StartFailure["outcome"], reason: string, isConnectionLost = false) =>
    handler.refuse({ outcome, reason, isConnectionLost, ...answer, body: buffer.take() });
  const exchange = context.openExchange({
    address: upstream.record.address,
    upstreamId: upstream.record.id,
    method: request.method,
    target: request.target,
    headers: dialect.encodeRequest(request.rawHeaders, {
      leftMs: Math.max(1, request.deadlineAtMs - context.clock.readMonotonicMs()),
      upstreamId: upstream.record.id,
      team: request.team,
      ...(backupTarget === undefined ? {} : { copyAddress: backupTarget.record.address }),
      ...(resumeFrom === undefined ? {} : { resumeFrom }),
      ...(lastEventId === undefined ? ownEventId : { lastEventId }),
    }),
    body: request.body,
    connectTimeoutMs: FORWARDING_LIMITS.connectTimeoutMs,
  }, {
    receiveHead: (status, statusText, rawHeaders) => {
      answer = { status, statusText, rawHeaders };
      head = dialect.decodeAnswer(status, rawHeaders);
      hasStarted = decideOutcome(status, head, request.requestId)[0] === "answered";
      if (hasStarted) {
        handler.start(status, statusText, rawHeaders);
      }
    },
    receiveData: (chunk) => {
      if (hasStarted) {
        handler.receiveData(chunk);
        return;
      }
      const excess = buffer.add(chunk);
      if (excess !== undefined) {
        exchange.abort();
        refuse("broken", excess);
      }
    },
    end: () => {
      if (hasStarted) {
        handler.end();
        return;
      }
      const [outcome, reason] = decideOutcome(answer.status, head, request.requestId);
      // A success status without a stream is not a valid response to this request.
      refuse(outcome === "answered" ? "broken" : outcome, reason);
    },
    fail: (isSent, reason) => {
      if (hasStarted) {
        handler.fail(reason);
      } else {
        refuse(isSent ? "broken" : "notSent", reason, isSent && answer.status === 0);
      }
    },
  });
  return {
    hasSent: exchange.hasSent,
    abort: (mustStop) => {
      buffer.take();
      exchange.abort(mustStop);
    },
  };
}
