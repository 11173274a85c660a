import { ADMISSION_LIMITS } from "./constants.ts";
import { LENGTH_HISTOGRAM } from "./length_histogram.ts";
import type { LengthKey } from "./length_key.ts";
import type { LengthPredictor, LengthQuestion } from "./length_predictor.ts";

interface Histogram {
  readonly weights: number[];
  total: number;
  updatedMs: number;
}

/** Share of the cautious prior in each bucket: lengths up to its limit are equally likely by size. */
const PRIOR_LIMIT_TOKENS = 8_192;
const PRIOR = LENGTH_HISTOGRAM.edges.map((edge) => edge <= PRIOR_LIMIT_TOKENS ? 1 : 0.1);
const PRIOR_TOTAL = PRIOR.reduce((sum, weight) => sum + weight, 0);
const REST_HORIZONS = [0, ...LENGTH_HISTOGRAM.edges];

/**
 * Creates a predictor from decayed histograms by (team, kind, model). A sparse histogram leans on
 * the one of (kind, model) over all teams, and that one on a cautious prior. Histograms are bounded
 * by {@link ADMISSION_LIMITS}; the least recently updated is dropped.
 */
export function createLengthPredictor(): LengthPredictor {
  const histograms = new Map<string, Histogram>();

  const noteInHistogram = (name: string, length: number, nowMs: number) => {
    const known = histograms.get(name);
    const histogram = known ??
      { weights: LENGTH_HISTOGRAM.edges.map(() => 0), total: 0, updatedMs: nowMs };
    const decay = 0.5 ** ((nowMs - histogram.updatedMs) / ADMISSION_LIMITS.lengthHalfLifeMs);
    const bucket = LENGTH_HISTOGRAM.findBucket(length);
    for (const [index, weight] of histogram.weights.entries()) {
      histogram.weights[index] = weight * decay + (index === bucket ? 1 : 0);
    }
    histogram.total = histogram.total * decay + 1;
    histogram.updatedMs = nowMs;
    histograms.delete(name);
    histograms.set(name, histogram);
    if (histograms.size > ADMISSION_LIMITS.maxHistograms) {
      const oldest = histograms.keys().next().value as string;
      histograms.delete(oldest);
    }
  };

  /** Weight of lengths above `length`: own observations plus the fallback's shape. */
  const sumBlended = (key: LengthKey, length: number): number => {
    const own = histograms.get(formatTeamName(key));
    const shared = histograms.get(formatKindName(key));
    const { fallbackWeight } = ADMISSION_LIMITS;
    const prior = fallbackWeight * LENGTH_HISTOGRAM.sumAbove(PRIOR, length) / PRIOR_TOTAL;
    const sharedSum = prior + (shared ? LENGTH_HISTOGRAM.sumAbove(shared.weights, length) : 0);
    const sharedTotal = fallbackWeight + (shared?.total ?? 0);
    return fallbackWeight * sharedSum / sharedTotal +
      (own ? LENGTH_HISTOGRAM.sumAbove(own.weights, length) : 0);
  };

  const predictSurvival = (question: LengthQuestion, horizons: readonly number[]) => {
    const { produced } = question;
    const limit = question.maxTokens ?? Number.POSITIVE_INFINITY;
    const alive = sumBlended(question, produced);
    return horizons.map((horizon) => {
      if (produced + horizon >= limit) {
        return 0;
      }
      return alive <= 0 ? 1 : sumBlended(question, produced + horizon) / alive;
    });
  };

  return {
    noteLength: (key, length, nowMs) => {
      noteInHistogram(formatTeamName(key), length, nowMs);
      noteInHistogram(formatKindName(key), length, nowMs);
    },
    predictSurvival,
    predictRest: (question) => {
      const survival = predictSurvival(question, REST_HORIZONS);
      const rest = REST_HORIZONS.slice(1).reduce((sum, horizon, index) => {
        const width = horizon - (REST_HORIZONS[index] as number);
        return sum + width * ((survival[index] as number) + (survival[index + 1] as number)) / 2;
      }, 0);
      return Math.max(1, rest);
    },
  };
}

function formatTeamName(key: LengthKey): string {
  return JSON.stringify([key.model, key.kind, key.team]);
}

function formatKindName(key: LengthKey): string {
  return JSON.stringify([key.model, key.kind]);
}
