import type { CandidateScore, LengthPredictor } from "@crocussail/daemon/policy";

/** One policy; all policies run the same code with different arguments. */
export interface PolicySpec {
  readonly name: string;
  readonly score: CandidateScore;
  /** Whether owners limit grants; if not, they grant every request immediately. */
  readonly limitsGrants: boolean;
  readonly createPredictor: () => LengthPredictor;
}
