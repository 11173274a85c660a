import type { OwnerState } from "./owner_state.ts";

/**
 * Expected time until the entry at `position` of the queue is granted: running generations end one
 * after the other, each end lets one entry in.
 */
export function estimateWaitMs(state: OwnerState, position: number): number {
  const count = state.running.size;
  if (count === 0) {
    return 0;
  }
  let restSum = 0;
  for (const running of state.running.values()) {
    restSum += running.restTokens;
  }
  const releaseMs = (restSum / count) * state.gaps.estimateGapMs(count) / count;
  return (position + 1) * releaseMs;
}
