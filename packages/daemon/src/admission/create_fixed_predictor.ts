import type { LengthPredictor } from "./length_predictor.ts";

/** Creates a predictor that learns nothing and assumes the declared or the default length. */
export function createFixedPredictor(defaultTokens: number): LengthPredictor {
  const getRemaining = (produced: number, maxTokens = defaultTokens) =>
    Math.max(1, maxTokens - produced);
  return {
    recordLength: () => {},
    predictSurvival: ({ produced, maxTokens }, horizons) =>
      horizons.map((horizon) => horizon < getRemaining(produced, maxTokens) ? 1 : 0),
    predictRemaining: ({ produced, maxTokens }) => getRemaining(produced, maxTokens),
  };
}
