import { ADMISSION_LIMITS } from "./constants.ts";
import { LENGTH_CURVE } from "./length_curve.ts";
import type { LengthCurve } from "./length_curve.ts";
import type { LengthKey } from "./length_key.ts";
import type { LengthPredictor } from "./length_predictor.ts";

interface Histogram {
  readonly weights: number[];
  total: number;
  updatedAtMs: number;
}

/** Conservative prior: lengths up to this limit are equally likely on a logarithmic scale. */
const PRIOR_LIMIT_TOKENS = 8_192;
const PRIOR = LENGTH_CURVE.edges.map((edge) => edge <= PRIOR_LIMIT_TOKENS ? 1 : 0.1);
const PRIOR_TOTAL = PRIOR.reduce((sum, weight) => sum + weight, 0);
/**
 * Expected remaining tokens of a generation that is longer than every recorded length, as a share
 * of the tokens that it has produced.
 */
const BEYOND_RECORD_SHARE = 0.5;

/**
 * Creates a predictor from decayed histograms by (team, kind, model). A sparse histogram is blended
 * with the one of (kind, model) over all teams, and that one with a conservative prior. The number
 * of histograms is limited by `maxHistograms`; beyond it the least recently updated is evicted.
 */
export function createLengthPredictor(): LengthPredictor {
  const histograms = new Map<string, Histogram>();
  /** Cached blended curves by team histogram; a recorded length deletes only its team's curve. */
  const curves = new Map<string, LengthCurve>();

  const recordInHistogram = (name: string, length: number, nowMs: number) => {
    const known = histograms.get(name);
    const histogram = known ??
      { weights: LENGTH_CURVE.edges.map(() => 0), total: 0, updatedAtMs: nowMs };
    const decay = 0.5 ** ((nowMs - histogram.updatedAtMs) / ADMISSION_LIMITS.lengthHalfLifeMs);
    const bucket = LENGTH_CURVE.findBucket(length);
    for (const [index, weight] of histogram.weights.entries()) {
      histogram.weights[index] = weight * decay + (index === bucket ? 1 : 0);
    }
    histogram.total = histogram.total * decay + 1;
    histogram.updatedAtMs = nowMs;
    histograms.delete(name);
    histograms.set(name, histogram);
    if (histograms.size > ADMISSION_LIMITS.maxHistograms) {
      histograms.delete(histograms.keys().next().value as string);
    }
  };

  const buildBlendedCurve = (key: LengthKey): LengthCurve => {
    const teamHistogram = histograms.get(formatTeamHistogramName(key));
    const kindHistogram = histograms.get(formatKindHistogramName(key));
    const { fallbackWeight } = ADMISSION_LIMITS;
    const kindTotal = fallbackWeight + (kindHistogram?.total ?? 0);
    const weights = PRIOR.map((prior, index) => {
      const kindWeight = fallbackWeight * prior / PRIOR_TOTAL +
        (kindHistogram?.weights[index] ?? 0);
      return fallbackWeight * kindWeight / kindTotal + (teamHistogram?.weights[index] ?? 0);
    });
    return LENGTH_CURVE.buildCurve(weights);
  };

  const getCurve = (key: LengthKey): LengthCurve => {
    const name = formatTeamHistogramName(key);
    const known = curves.get(name);
    if (known !== undefined) {
      return known;
    }
    const curve = buildBlendedCurve(key);
    if (curves.size >= ADMISSION_LIMITS.maxHistograms) {
      curves.clear();
    }
    curves.set(name, curve);
    return curve;
  };

  return {
    recordLength: (key, length, nowMs) => {
      recordInHistogram(formatTeamHistogramName(key), length, nowMs);
      recordInHistogram(formatKindHistogramName(key), length, nowMs);
      curves.delete(formatTeamHistogramName(key));
    },
    predictSurvival: (query, horizons) => {
      const { produced } = query;
      const curve = getCurve(query);
      const limit = query.maxTokens ?? Number.POSITIVE_INFINITY;
      const remainingWeight = LENGTH_CURVE.getWeightAbove(curve, produced);
      return horizons.map((horizon) => {
        if (produced + horizon >= limit) {
          return 0;
        }
        return remainingWeight <= 0
          ? 1
          : LENGTH_CURVE.getWeightAbove(curve, produced + horizon) / remainingWeight;
      });
    },
    predictRemaining: (query) => {
      const { produced } = query;
      const curve = getCurve(query);
      const limit = query.maxTokens ?? Number.POSITIVE_INFINITY;
      const remainingWeight = LENGTH_CURVE.getWeightAbove(curve, produced);
      const remaining = remainingWeight <= 0
        ? Math.min(produced * BEYOND_RECORD_SHARE, limit - produced)
        : (LENGTH_CURVE.getIntegralFrom(curve, produced) -
          LENGTH_CURVE.getIntegralFrom(curve, limit)) /
          remainingWeight;
      return Math.max(1, remaining);
    },
  };
}

function formatTeamHistogramName(key: LengthKey): string {
  return `${key.model}\0${key.kind}\0${key.team}`;
}

function formatKindHistogramName(key: LengthKey): string {
  return `${key.model}\0${key.kind}`;
}
