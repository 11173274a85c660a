import type { Candidate } from "./candidate.ts";

const AGE_FACTOR = 0.02;
const PREFIX_SHARE_OF_FIRST_TOKEN = 0.8;

/** Scores by the expected time to the complete response, with a penalty for stale load reports. */
export function scoreExpectedTime(candidate: Candidate): number {
  const savedShare = candidate.hitProbability * PREFIX_SHARE_OF_FIRST_TOKEN;
  return candidate.waitMs +
    candidate.firstTokenMs * (1 - savedShare) +
    candidate.gapMs * candidate.remainingTokens +
    candidate.ageMs * AGE_FACTOR;
}
