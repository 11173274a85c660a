import type { Candidate, CandidateScore } from "./candidate.ts";

/** One candidate as `GET /explain/:id` shows it. */
export interface RankedCandidate {
  readonly upstream: string;
  /** Value by which candidates were ordered; the smallest comes first. */
  readonly score: number;
}

const MAX_SHOWN = 5;

/** Describes the first candidates of a ranking. */
export function describeRanking(
  ranked: readonly Candidate[],
  score: CandidateScore,
): RankedCandidate[] {
  return ranked.slice(0, MAX_SHOWN).map((candidate) => ({
    upstream: candidate.upstream,
    score: Math.round(score(candidate)),
  }));
}
