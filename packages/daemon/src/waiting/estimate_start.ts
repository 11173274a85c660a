import { isPrecededBy } from "./is_preceded_by.ts";
import type { WaitingHead } from "./waiting_head.ts";
import type { WaitingRequest } from "./waiting_request.ts";

/** Options of {@link estimateStart}. */
export interface StartEstimateOptions {
  readonly isLate: boolean;
  /** Tokens that the requests of this host before it need, by priority. */
  readonly aheadTokens: ReadonlyMap<number, number>;
  /** Waiting requests of the other hosts. */
  readonly heads: readonly WaitingHead[];
  /** Rate at which room becomes free. */
  readonly tokensPerMs: number;
  /** Share of that room that more urgent requests use. */
  readonly urgentShare: number;
  readonly nowMs: number;
}

/**
 * Estimates after how many milliseconds a request starts, from the tokens of the requests before it
 * over all hosts and the rate at which room becomes free. The more urgent ones that wait get all of
 * that room, the others what the urgent ones leave. Equally urgent requests that arrive later and
 * precede it are not counted, so it starts no earlier.
 */
export function estimateStart(request: WaitingRequest, options: StartEstimateOptions): number {
  const { isLate, aheadTokens, heads, tokensPerMs, urgentShare, nowMs } = options;
  let urgentTokens = 0;
  let otherTokens = request.memoryTokens;
  const addTokens = (priority: number, tokens: number) => {
    const isMoreUrgent = priority < request.priority;
    urgentTokens += isMoreUrgent ? tokens : 0;
    otherTokens += isMoreUrgent ? 0 : tokens;
  };
  aheadTokens.forEach((tokens, priority) => addTokens(priority, tokens));
  for (const head of heads) {
    if (isPrecededBy(request, isLate, head, nowMs)) {
      addTokens(head.priority, head.memoryTokens * countBefore(request, isLate, head, nowMs));
    }
  }
  return urgentTokens / tokensPerMs + otherTokens / (tokensPerMs * (1 - urgentShare));
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
