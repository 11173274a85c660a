import type { Candidate } from "./candidate.ts";

/** Scores by the number of in-flight generations: the least-in-flight baseline. */
export function scoreInFlight(candidate: Candidate): number {
  return candidate.inFlight;
}
