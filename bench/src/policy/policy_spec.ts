import type { CandidateScore, LengthPredictor } from "@crocussail/daemon/policy";

/** One policy: the same code with other arguments. */
export interface PolicySpec {
  readonly name: string;
  readonly score: CandidateScore;
  /** False grants everything at once. */
  readonly isGated: boolean;
  readonly createPredictor: () => LengthPredictor;
}
