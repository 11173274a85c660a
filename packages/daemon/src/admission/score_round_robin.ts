import type { Candidate } from "./candidate.ts";

/** Scores by earlier choices: the baseline of round robin. */
export function scoreRoundRobin(candidate: Candidate): number {
  return candidate.choices;
}
