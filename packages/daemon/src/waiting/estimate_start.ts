import { isPrecededBy } from "./is_preceded_by.ts";
import type { WaitingHead } from "./waiting_head.ts";
import type { WaitingRequest } from "./waiting_request.ts";

/** Options of {@link estimateStart}. */
export interface StartEstimateOptions {
  readonly isLate: boolean;
  /** Tokens that the requests of this host before it need. */
  readonly aheadTokens: number;
  /** Waiting requests of the other hosts. */
  readonly heads: readonly WaitingHead[];
  /** Rate at which room becomes free. */
  readonly tokensPerMs: number;
  readonly nowMs: number;
}

/**
 * Estimates after how many milliseconds a request starts, from the tokens of the requests before it
 * over all hosts and the rate at which room becomes free. Requests that arrive later and precede it
 * are not counted, so it starts no earlier.
 */
export function estimateStart(request: WaitingRequest, options: StartEstimateOptions): number {
  const { isLate, heads, tokensPerMs, nowMs } = options;
  let tokens = options.aheadTokens + request.memoryTokens;
  for (const head of heads) {
    if (isPrecededBy(request, isLate, head, nowMs)) {
      tokens += head.memoryTokens * countBefore(request, isLate, head, nowMs);
    }
  }
  return tokens / tokensPerMs;
}

/** Counts how many of another host's requests precede one, if they arrived at a steady rate. */
function countBefore(
  request: WaitingRequest,
  isLate: boolean,
  head: WaitingHead,
  nowMs: number,
): number {
  if (isLate || head.priority < request.priority) {
    return head.count;
  }
  const headAgeMs = Math.max(1, nowMs - head.arrivedAtMs);
  return Math.max(1, head.count * (request.arrivedAtMs - head.arrivedAtMs) / headAgeMs);
}
