import type { Candidate, CandidateScore } from "./candidate.ts";

/** One candidate as `explain` shows it. */
export interface RankedCandidate {
  readonly upstream: string;
  /** Value by which candidates were ordered; the smallest comes first. */
  readonly score: number;
}

const MAX_SHOWN = 5;

/** Describes the best candidates of a request in their order. */
export function describeRanking(
  ranked: readonly Candidate[],
  score: CandidateScore,
): RankedCandidate[] {
  return ranked.slice(0, MAX_SHOWN).map((candidate) => ({
    upstream: candidate.upstream,
    score: Math.round(score(candidate)),
  }));
}
