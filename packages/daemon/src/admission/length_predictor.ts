import type { LengthKey } from "./length_key.ts";

/** A query about a running or requested generation. */
export interface LengthQuery extends LengthKey {
  /** Tokens produced already. */
  readonly produced: number;
  /** Declared upper limit of the response. */
  readonly maxTokens?: number;
}

/** Learns output lengths and predicts the remaining length of a response. */
export interface LengthPredictor {
  /** Records a complete response of `length` tokens. */
  recordLength(key: LengthKey, length: number, nowMs: number): void;
  /** Probability, for each of `horizons`, that more than that many tokens remain. */
  predictSurvival(query: LengthQuery, horizons: readonly number[]): number[];
  /** Expected number of remaining tokens; at least 1. */
  predictRemaining(query: LengthQuery): number;
}
