import type { Candidate } from "./candidate.ts";

/** Scores by the number of earlier choices: the round-robin baseline. */
export function scoreRoundRobin(candidate: Candidate): number {
  return candidate.choices;
}
