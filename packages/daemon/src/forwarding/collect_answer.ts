import type { UpstreamExchange, UpstreamExchangeRequest } from "../adapters/upstream_exchange.ts";
import { createBoundedBuffer } from "../common/create_bounded_buffer.ts";
import { decideOutcome } from "../retries/mod.ts";
import type { AnswerHead, AttemptOutcome } from "../retries/mod.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import type { ForwardingContext } from "./forwarding_context.ts";

/** A complete response, or the reason why there is none. */
export interface CollectedAnswer {
  readonly outcome: AttemptOutcome;
  readonly reason: string;
  /** The connection closed before the first byte of a response. */
  readonly isConnectionLost: boolean;
  readonly status: number;
  readonly statusText: string;
  readonly rawHeaders: readonly string[];
  readonly body: Uint8Array;
}

/** Options of {@link collectAnswer}. */
export interface CollectOptions {
  readonly context: Pick<ForwardingContext, "openExchange" | "dialect" | "clock" | "answerBudget">;
  readonly request: UpstreamExchangeRequest;
  readonly requestId: string;
  readonly timeoutMs: number;
  /** Receives the open exchange, so that the caller of this function can abort it. */
  readonly receiveExchange: (exchange: UpstreamExchange) => void;
}

/** Sends a request and waits up to `timeoutMs` for the complete response. */
export function collectAnswer(options: CollectOptions): Promise<CollectedAnswer> {
  const { context: { openExchange, dialect, clock, answerBudget }, requestId } = options;
  return new Promise((resolve) => {
    const buffer = createBoundedBuffer(answerBudget, FORWARDING_LIMITS.maxAnswerBytes);
    let answer = { status: 0, statusText: "", rawHeaders: [] as readonly string[] };
    let head: AnswerHead | undefined;
    let isConnectionLost = false;
    let exchange: UpstreamExchange | undefined = undefined;
    const settle = (outcome: AttemptOutcome, reason: string) => {
      timer.cancel();
      resolve({ outcome, reason, isConnectionLost, ...answer, body: buffer.take() });
    };
    const abort = (reason: string) => {
      exchange?.abort();
      settle("broken", reason);
    };
    const timer = clock.startTimer(
      options.timeoutMs,
      () => abort("no complete response within the timeout"),
    );
    exchange = openExchange(options.request, {
      receiveHead: (status, statusText, rawHeaders) => {
        answer = { status, statusText, rawHeaders };
        head = dialect.decodeAnswer(status, rawHeaders);
      },
      receiveData: (chunk) => {
        const excess = buffer.add(chunk);
        if (excess !== undefined) {
          abort(excess);
        }
      },
      end: () => settle(...decideOutcome(answer.status, head, requestId)),
      fail: (isSent, reason) => {
        isConnectionLost = isSent && answer.status === 0;
        settle(isSent ? "broken" : "notSent", reason);
      },
    });
    options.receiveExchange(exchange);
  });
}
