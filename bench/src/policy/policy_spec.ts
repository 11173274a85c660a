import type { CandidateScore, LengthPredictor } from "@crocussail/daemon/policy";

/** One policy; all policies run the same code with different arguments. */
export interface PolicySpec {
  readonly name: string;
  readonly score: CandidateScore;
  /** False grants every request immediately. */
  readonly isGated: boolean;
  readonly createPredictor: () => LengthPredictor;
}
