/**
 * State of a request whose latest placement has failed. The generation has been cancelled if it may
 * still run.
 */
export interface PlacementInput {
  /** Number of placements attempted, including the failed one. */
  readonly placements: number;
  /** Number of tokens that have reached the caller, or may have. */
  readonly deliveredTokens: number;
  readonly isCallerDisconnected: boolean;
  readonly isQuarantined: boolean;
  readonly nowMs: number;
  readonly deadlineMs: number;
}

/** Limits of {@link decidePlacement}. */
export interface PlacementLimits {
  readonly maxPlacements: number;
  /** Takes one retry token from the daemon's budget; returns false when none is left. */
  readonly consumeRetry: () => boolean;
}

/**
 * Whether the request is placed again or fails. `tokensStand` means that tokens have reached the
 * caller, and `budget` that the retry budget is empty.
 */
export type PlacementEffect =
  | { readonly type: "place" }
  | {
    readonly type: "fail";
    readonly reason:
      | "tokensStand"
      | "callerGone"
      | "quarantined"
      | "attempts"
      | "deadline"
      | "budget";
  };

/**
 * Decides whether a request is placed again after a failed placement. It is never placed again once
 * a token has reached the caller, because the response would mix tokens of two generations. The
 * retry budget is checked last, so that only a retry that takes place uses a token.
 */
export function decidePlacement(input: PlacementInput, limits: PlacementLimits): PlacementEffect {
  if (input.deliveredTokens > 0) {
    return { type: "fail", reason: "tokensStand" };
  }
  if (input.isCallerDisconnected) {
    return { type: "fail", reason: "callerGone" };
  }
  if (input.isQuarantined) {
    return { type: "fail", reason: "quarantined" };
  }
  if (input.placements >= limits.maxPlacements) {
    return { type: "fail", reason: "attempts" };
  }
  if (input.nowMs >= input.deadlineMs) {
    return { type: "fail", reason: "deadline" };
  }
  if (!limits.consumeRetry()) {
    return { type: "fail", reason: "budget" };
  }
  return { type: "place" };
}
