import type { Candidate, CandidateScore } from "./candidate.ts";

/** Orders candidates by score, smallest first; ties are broken by name. */
export function rankCandidates(
  candidates: readonly Candidate[],
  score: CandidateScore,
): Candidate[] {
  return candidates
    .map((candidate) => ({ candidate, value: score(candidate) }))
    .sort((left, right) =>
      left.value - right.value || (left.candidate.upstream < right.candidate.upstream ? -1 : 1)
    )
    .map(({ candidate }) => candidate);
}
