/** An upstream as the entry daemon (the host that received the request) sees it when ranking. */
export interface Candidate {
  readonly upstream: string;
  /** Number of grants on this upstream that the entry daemon holds. */
  readonly inFlight: number;
  /** Expected wait for a grant, as last reported by the owner. */
  readonly waitMs: number;
  /** Learned delay from the grant to the first token for this kind. */
  readonly firstTokenMs: number;
  /** Learned token gap for this kind. */
  readonly gapMs: number;
  /** Probability, from 0 to 1, that the upstream has the prompt prefix in its cache. */
  readonly hitProbability: number;
  /** Age of the owner's last report, in milliseconds. */
  readonly ageMs: number;
  /** Expected tokens of the response. */
  readonly remainingTokens: number;
  /** Number of earlier choices of this upstream, for round robin. */
  readonly choices: number;
}

/** Scores a candidate; candidates are tried in ascending order of score. */
export type CandidateScore = (candidate: Candidate) => number;
