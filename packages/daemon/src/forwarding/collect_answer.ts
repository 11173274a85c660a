import type { UpstreamExchange, UpstreamExchangeRequest } from "../adapters/upstream_exchange.ts";
import { decideOutcome } from "../retries/mod.ts";
import type { AnswerHead, AttemptOutcome } from "../retries/mod.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import type { ForwardingContext } from "./forwarding_context.ts";

/** A whole answer, or why there is none. */
export interface CollectedAnswer {
  readonly outcome: AttemptOutcome;
  readonly reason: string;
  /** The connection ended before the first byte of an answer. */
  readonly isLost: boolean;
  readonly status: number;
  readonly statusText: string;
  readonly rawHeaders: readonly string[];
  readonly body: Uint8Array;
}

/** Options of {@link collectAnswer}. */
export interface CollectOptions {
  readonly context: Pick<ForwardingContext, "openExchange" | "dialect" | "clock">;
  readonly request: UpstreamExchangeRequest;
  readonly requestId: string;
  readonly timeoutMs: number;
  /** Receives the running exchange, so that it can be aborted. */
  readonly noteExchange: (exchange: UpstreamExchange) => void;
}

/** Sends a request and waits for its whole answer at most `timeoutMs`. */
export function collectAnswer(options: CollectOptions): Promise<CollectedAnswer> {
  const { context: { openExchange, dialect, clock }, requestId } = options;
  return new Promise((resolve) => {
    const chunks: Uint8Array[] = [];
    let size = 0;
    let answer = { status: 0, statusText: "", rawHeaders: [] as readonly string[] };
    let head: AnswerHead | undefined;
    let isLost = false;
    const settle = (outcome: AttemptOutcome, reason: string) => {
      timer.cancel();
      const body = chunks.length === 1 ? chunks[0] as Uint8Array : Buffer.concat(chunks);
      resolve({ outcome, reason, isLost, ...answer, body });
    };
    const giveUp = (reason: string) => {
      exchange.abort();
      settle("broken", reason);
    };
    const timer = clock.startTimer(
      options.timeoutMs,
      () => giveUp("no whole answer within the time limit"),
    );
    const exchange = openExchange(options.request, {
      receiveHead: (status, statusText, rawHeaders) => {
        answer = { status, statusText, rawHeaders };
        head = dialect.decodeAnswer(status, rawHeaders);
      },
      receiveData: (chunk) => {
        chunks.push(chunk);
        size += chunk.length;
        if (size > FORWARDING_LIMITS.maxAnswerBytes) {
          giveUp("answer is larger than this host holds");
        }
      },
      end: () => settle(...decideOutcome(answer.status, head, requestId)),
      fail: (isSent, reason) => {
        isLost = isSent && answer.status === 0;
        settle(isSent ? "broken" : "notSent", reason);
      },
    });
    options.noteExchange(exchange);
  });
}
