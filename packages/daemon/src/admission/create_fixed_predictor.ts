import type { LengthPredictor } from "./length_predictor.ts";

/** Creates a predictor that learns nothing: every answer has its declared or the default length. */
export function createFixedPredictor(defaultTokens: number): LengthPredictor {
  const getRest = (produced: number, maxTokens = defaultTokens) =>
    Math.max(1, maxTokens - produced);
  return {
    noteLength: () => {},
    predictSurvival: ({ produced, maxTokens }, horizons) =>
      horizons.map((horizon) => horizon < getRest(produced, maxTokens) ? 1 : 0),
    predictRest: ({ produced, maxTokens }) => getRest(produced, maxTokens),
  };
}
