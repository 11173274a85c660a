/** State of a request whose latest placement has failed, and has been cancelled if it may run. */
export interface PlacementInput {
  /** Placements tried, the failed one included. */
  readonly placements: number;
  /** Tokens that have reached the caller, or may have. */
  readonly deliveredTokens: number;
  readonly isCallerGone: boolean;
  readonly isQuarantined: boolean;
  readonly nowMs: number;
  readonly deadlineMs: number;
}

/** Limits of {@link decidePlacement}. */
export interface PlacementLimits {
  readonly maxPlacements: number;
  /** Takes one retry out of the daemon's budget; false when it is spent. */
  readonly consumeRetry: () => boolean;
}

/** Whether a request is placed again. */
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
 * Decides whether a request is placed again after a failed placement. Once a token has reached the
 * caller it never is: tokens of two generations would mix. The budget is asked last, so that only
 * a retry that happens costs a token of it.
 */
export function decidePlacement(input: PlacementInput, limits: PlacementLimits): PlacementEffect {
  if (input.deliveredTokens > 0) {
    return { type: "fail", reason: "tokensStand" };
  }
  if (input.isCallerGone) {
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
