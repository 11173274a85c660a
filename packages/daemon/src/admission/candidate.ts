/** An upstream as an entry daemon sees it when it chooses where to ask. */
export interface Candidate {
  readonly upstream: string;
  /** Grants of this upstream that the entry daemon knows of. */
  readonly inFlight: number;
  /** Expected wait for a grant, as the owner last said. */
  readonly waitMs: number;
  /** Learned delay from the grant to the first token for this kind. */
  readonly firstTokenMs: number;
  /** Learned token gap for this kind. */
  readonly gapMs: number;
  /** Share of the prompt that the upstream probably has in its prefix cache. */
  readonly affinity: number;
  /** Age of the owner's word, in milliseconds. */
  readonly ageMs: number;
  /** Expected tokens of the answer. */
  readonly restTokens: number;
  /** Number of earlier choices of this upstream, for round robin. */
  readonly choices: number;
}

/** Rates a candidate; the smallest score is asked first. */
export type CandidateScore = (candidate: Candidate) => number;
