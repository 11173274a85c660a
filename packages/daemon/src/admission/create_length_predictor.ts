import { ADMISSION_LIMITS } from "./constants.ts";
import { LENGTH_CURVE } from "./length_curve.ts";
import type { LengthCurve } from "./length_curve.ts";
import type { LengthKey } from "./length_key.ts";
import type { LengthPredictor } from "./length_predictor.ts";

interface Histogram {
  readonly weights: number[];
  total: number;
  updatedMs: number;
}

/** Cautious prior: lengths up to its limit are equally likely on a logarithmic scale. */
const PRIOR_LIMIT_TOKENS = 8_192;
const PRIOR = LENGTH_CURVE.edges.map((edge) => edge <= PRIOR_LIMIT_TOKENS ? 1 : 0.1);
const PRIOR_TOTAL = PRIOR.reduce((sum, weight) => sum + weight, 0);
/** Share of the produced tokens expected as rest beyond every length on record. */
const BEYOND_RECORD_SHARE = 0.5;

/**
 * Creates a predictor from decayed histograms by (team, kind, model). A sparse histogram leans on
 * the one of (kind, model) over all teams, and that one on a cautious prior. Histograms are bounded
 * by {@link ADMISSION_LIMITS}; the least recently updated is dropped.
 */
export function createLengthPredictor(): LengthPredictor {
  const histograms = new Map<string, Histogram>();
  /** Curves of the histograms as they stand; emptied by the observations that change them. */
  const curves = new Map<string, LengthCurve>();

  const noteInHistogram = (name: string, length: number, nowMs: number) => {
    const known = histograms.get(name);
    const histogram = known ??
      { weights: LENGTH_CURVE.edges.map(() => 0), total: 0, updatedMs: nowMs };
    const decay = 0.5 ** ((nowMs - histogram.updatedMs) / ADMISSION_LIMITS.lengthHalfLifeMs);
    const bucket = LENGTH_CURVE.findBucket(length);
    for (const [index, weight] of histogram.weights.entries()) {
      histogram.weights[index] = weight * decay + (index === bucket ? 1 : 0);
    }
    histogram.total = histogram.total * decay + 1;
    histogram.updatedMs = nowMs;
    histograms.delete(name);
    histograms.set(name, histogram);
    if (histograms.size > ADMISSION_LIMITS.maxHistograms) {
      histograms.delete(histograms.keys().next().value as string);
    }
  };

  const buildBlendedCurve = (key: LengthKey): LengthCurve => {
    const own = histograms.get(formatTeamName(key));
    const shared = histograms.get(formatKindName(key));
    const { fallbackWeight } = ADMISSION_LIMITS;
    const sharedTotal = fallbackWeight + (shared?.total ?? 0);
    const weights = PRIOR.map((prior, index) => {
      const sharedWeight = fallbackWeight * prior / PRIOR_TOTAL + (shared?.weights[index] ?? 0);
      return fallbackWeight * sharedWeight / sharedTotal + (own?.weights[index] ?? 0);
    });
    return LENGTH_CURVE.buildCurve(weights);
  };

  const getCurve = (key: LengthKey): LengthCurve => {
    const name = formatTeamName(key);
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
    noteLength: (key, length, nowMs) => {
      noteInHistogram(formatTeamName(key), length, nowMs);
      noteInHistogram(formatKindName(key), length, nowMs);
      curves.delete(formatTeamName(key));
    },
    predictSurvival: (question, horizons) => {
      const { produced } = question;
      const curve = getCurve(question);
      const limit = question.maxTokens ?? Number.POSITIVE_INFINITY;
      const alive = LENGTH_CURVE.readAbove(curve, produced);
      return horizons.map((horizon) => {
        if (produced + horizon >= limit) {
          return 0;
        }
        return alive <= 0 ? 1 : LENGTH_CURVE.readAbove(curve, produced + horizon) / alive;
      });
    },
    predictRest: (question) => {
      const { produced } = question;
      const curve = getCurve(question);
      const limit = question.maxTokens ?? Number.POSITIVE_INFINITY;
      const alive = LENGTH_CURVE.readAbove(curve, produced);
      const rest = alive <= 0
        ? Math.min(produced * BEYOND_RECORD_SHARE, limit - produced)
        : (LENGTH_CURVE.readIntegral(curve, produced) - LENGTH_CURVE.readIntegral(curve, limit)) /
          alive;
      return Math.max(1, rest);
    },
  };
}

function formatTeamName(key: LengthKey): string {
  return `${key.model}\0${key.kind}\0${key.team}`;
}

function formatKindName(key: LengthKey): string {
  return `${key.model}\0${key.kind}`;
}
