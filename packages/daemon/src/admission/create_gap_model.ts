import { ADMISSION_LIMITS } from "./constants.ts";

/** Learns the token gap of one upstream as a linear function of its batch size. */
export interface GapModel {
  /** Records a mean token gap observed while `batch` generations ran. */
  recordGap(batch: number, gapMs: number): void;
  estimateGapMs(batch: number): number;
  /** Largest batch, up to `maxBatch`, whose gap stays within `targetMs`; at least 1. */
  computeBatchLimit(targetMs: number, maxBatch: number): number;
}

const DECAY = 0.995;
const MIN_VARIANCE = 0.5;
/** Minimum weight, that is, decayed number of samples, for a fit. */
const MIN_WEIGHT = 3;

/** Creates a gap model by least squares with exponentially decaying weights. */
export function createGapModel(): GapModel {
  let weight = 0;
  let batchSum = 0;
  let gapSum = 0;
  let squareSum = 0;
  let productSum = 0;

  const fitLine = () => {
    if (weight < MIN_WEIGHT) {
      return { base: ADMISSION_LIMITS.defaultGapMs, slope: 0 };
    }
    const meanBatch = batchSum / weight;
    const meanGap = gapSum / weight;
    const variance = squareSum / weight - meanBatch ** 2;
    const slope = variance < MIN_VARIANCE
      ? 0
      : Math.max(0, (productSum / weight - meanBatch * meanGap) / variance);
    return { base: Math.max(0, meanGap - slope * meanBatch), slope };
  };

  return {
    recordGap: (batch, gapMs) => {
      weight = weight * DECAY + 1;
      batchSum = batchSum * DECAY + batch;
      gapSum = gapSum * DECAY + gapMs;
      squareSum = squareSum * DECAY + batch * batch;
      productSum = productSum * DECAY + batch * gapMs;
    },
    estimateGapMs: (batch) => {
      const { base, slope } = fitLine();
      return Math.max(1, base + slope * batch);
    },
    computeBatchLimit: (targetMs, maxBatch) => {
      const { base, slope } = fitLine();
      if (slope === 0) {
        return maxBatch;
      }
      return Math.max(1, Math.min(maxBatch, Math.floor((targetMs - base) / slope)));
    },
  };
}
