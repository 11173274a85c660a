import type { LengthKey } from "./length_key.ts";

/** What is known of a running or asking generation. */
export interface LengthQuestion extends LengthKey {
  /** Tokens produced already. */
  readonly produced: number;
  /** Declared upper limit of the answer. */
  readonly maxTokens?: number;
}

/** Learns output lengths and predicts what is left of an answer. */
export interface LengthPredictor {
  /** Records a complete answer of `length` tokens. */
  noteLength(key: LengthKey, length: number, nowMs: number): void;
  /** Probability that more than each of `horizons` tokens are left. */
  predictSurvival(question: LengthQuestion, horizons: readonly number[]): number[];
  /** Expected number of tokens left; at least 1. */
  predictRest(question: LengthQuestion): number;
}
