import { computeSlack } from "./compute_slack.ts";
import { WAITING_LIMITS } from "./constants.ts";
import { listShareKeys } from "./list_share_keys.ts";
import type { ShareState } from "./share_state.ts";
import type { WaitingRequest } from "./waiting_request.ts";

/** Options of {@link orderWaiting}. */
export interface WaitingOrderOptions {
  readonly nowMs: number;
  /** Prefill rate of the fastest engine: a request that is too late for it is too late for all. */
  readonly tokensPerMs: number;
  readonly shares: ShareState;
  /** Whether the turn belongs to a request that is past its target. */
  readonly isLateTurn: boolean;
}

/** A request in its place. */
export interface OrderedRequest<Request extends WaitingRequest> {
  readonly request: Request;
  /** No engine can start it within its target any more. */
  readonly isLate: boolean;
  /** Time left until that is so. */
  readonly slackMs: number;
}

/**
 * Orders the waiting requests of one service: those that can still start within their target first,
 * then by priority, by class of slack, by the tokens that their account and their kind have had,
 * and by arrival.
 */
export function orderWaiting<Request extends WaitingRequest>(
  requests: readonly Request[],
  { nowMs, tokensPerMs, shares, isLateTurn }: WaitingOrderOptions,
): OrderedRequest<Request>[] {
  const ranked = requests.map((request) => {
    const slackMs = computeSlack(request, tokensPerMs, nowMs);
    const isLate = slackMs < 0;
    return {
      request,
      isLate,
      slackMs,
      slackClass: isLate ? 0 : Math.floor(slackMs / WAITING_LIMITS.slackClassMs),
      tokens: listShareKeys(request).map((key) => shares.tokens.get(key) ?? 0),
    };
  });
  ranked.sort((left, right) =>
    Number(left.isLate) - Number(right.isLate) ||
    left.request.priority - right.request.priority ||
    left.slackClass - right.slackClass ||
    (left.tokens[0] ?? 0) - (right.tokens[0] ?? 0) ||
    (left.tokens[1] ?? 0) - (right.tokens[1] ?? 0) ||
    left.request.arrivedAtMs - right.request.arrivedAtMs
  );
  const firstLate = isLateTurn ? ranked.findIndex(({ isLate }) => isLate) : 0;
  return firstLate <= 0
    ? ranked
    : [...ranked.slice(firstLate, firstLate + 1), ...ranked.filter((_, at) => at !== firstLate)];
}
