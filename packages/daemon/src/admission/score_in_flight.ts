import type { Candidate } from "./candidate.ts";

/** Scores by the generations in flight: the baseline of least in flight. */
export function scoreInFlight(candidate: Candidate): number {
  return candidate.inFlight;
}
