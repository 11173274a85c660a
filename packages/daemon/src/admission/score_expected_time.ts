import type { Candidate } from "./candidate.ts";

const AGE_FACTOR = 0.02;
const PREFIX_SHARE_OF_FIRST_TOKEN = 0.8;

/** Scores by the expected time to the whole answer, with a surcharge for old load figures. */
export function scoreExpectedTime(candidate: Candidate): number {
  const saved = candidate.affinity * PREFIX_SHARE_OF_FIRST_TOKEN;
  return candidate.waitMs +
    candidate.firstTokenMs * (1 - saved) +
    candidate.gapMs * candidate.restTokens +
    candidate.ageMs * AGE_FACTOR;
}
