import type { OwnerState } from "./owner_state.ts";

/**
 * Estimates the time until the entry at `position` of the queue is granted, assuming that running
 * generations end one after another and each end admits one entry.
 */
export function estimateWaitMs(state: OwnerState, position: number): number {
  const count = state.running.size;
  if (count === 0) {
    return 0;
  }
  let remainingSum = 0;
  for (const running of state.running.values()) {
    remainingSum += running.remainingTokens;
  }
  const releaseMs = (remainingSum / count) * state.gaps.estimateGapMs(count) / count;
  return (position + 1) * releaseMs;
}
