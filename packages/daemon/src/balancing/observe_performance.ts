import { BALANCING_LIMITS } from "./constants.ts";
import type { LoadState, ObservedPerformance } from "./load_state.ts";

/** One observation of an upstream; fields that were not observed are absent. */
export interface PerformanceObservation {
  readonly upstreamId: string;
  readonly tokensPerMs?: number;
  readonly tokenMs?: number;
  readonly hasFailed?: boolean;
}

const UNOBSERVED: ObservedPerformance = {
  tokensPerMs: undefined,
  tokenMs: undefined,
  failureShare: 0,
};

/** Updates the moving averages of an upstream's performance with one observation. */
export function observePerformance(state: LoadState, observation: PerformanceObservation): void {
  const { upstreamId, hasFailed } = observation;
  const known = state.conduct.get(upstreamId) ?? UNOBSERVED;
  const failure = hasFailed === undefined ? undefined : Number(hasFailed);
  state.conduct.delete(upstreamId); // keeps the map ordered by the last observation
  state.conduct.set(upstreamId, {
    tokensPerMs: computeSmoothed(known.tokensPerMs, observation.tokensPerMs),
    tokenMs: computeSmoothed(known.tokenMs, observation.tokenMs),
    failureShare: computeSmoothed(known.failureShare, failure) ?? 0,
  });
}

function computeSmoothed(
  known: number | undefined,
  observed: number | undefined,
): number | undefined {
  if (known === undefined || observed === undefined) {
    return observed ?? known;
  }
  return known + BALANCING_LIMITS.observationWeight * (observed - known);
}
