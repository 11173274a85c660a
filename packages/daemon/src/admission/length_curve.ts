const FIRST_EDGE_TOKENS = 4;
const BUCKET_COUNT = 30;
const BUCKETS_PER_DOUBLING = 2;

/** Upper edges of the length buckets, in tokens. */
const EDGES = Array.from(
  { length: BUCKET_COUNT },
  (_, index) => FIRST_EDGE_TOKENS * 2 ** (index / BUCKETS_PER_DOUBLING),
);
const LAST_EDGE = EDGES[BUCKET_COUNT - 1] as number;

/** Distribution of lengths, prepared for lookups at any length. */
export interface LengthCurve {
  /** Weight of the lengths above 0, followed by the weight of the lengths above each edge. */
  readonly weightsAbove: readonly number[];
  /** Integrals of the weight above a length: from 0, and from each edge, to the last edge. */
  readonly integral: readonly number[];
}

/** Buckets of output lengths and the curves built from their weights. */
export const LENGTH_CURVE = {
  edges: EDGES,
  /** Returns the bucket of a length; the last bucket holds everything longer. */
  findBucket: (length: number): number =>
    Math.max(0, Math.min(BUCKET_COUNT - 1, Math.ceil(computePosition(length) - 1))),
  /** Builds the curve from the weight of each bucket. */
  buildCurve: (weights: readonly number[]): LengthCurve => {
    const weightsAbove = Array.from({ length: BUCKET_COUNT + 1 }, () => 0);
    const integral = Array.from({ length: BUCKET_COUNT + 1 }, () => 0);
    for (let index = BUCKET_COUNT - 1; index >= 0; index--) {
      const next = weightsAbove[index + 1] as number;
      const current = next + (weights[index] as number);
      const width = (EDGES[index] as number) - getLowerEdge(index);
      weightsAbove[index] = current;
      integral[index] = (integral[index + 1] as number) + width * (current + next) / 2;
    }
    return { weightsAbove, integral };
  },
  /** Weight of the lengths above `length`, assuming a uniform distribution in each bucket. */
  getWeightAbove: (curve: LengthCurve, length: number): number => {
    if (length >= LAST_EDGE) {
      return 0;
    }
    const index = locateBucket(length);
    const low = getLowerEdge(index);
    const share = (length - low) / ((EDGES[index] as number) - low);
    const start = curve.weightsAbove[index] as number;
    return start + share * ((curve.weightsAbove[index + 1] as number) - start);
  },
  /** Integral of the weight above a length, from `length` to the last edge. */
  getIntegralFrom: (curve: LengthCurve, length: number): number => {
    if (length >= LAST_EDGE) {
      return 0;
    }
    const index = locateBucket(length);
    const next = curve.weightsAbove[index + 1] as number;
    const width = (EDGES[index] as number) - length;
    const current = LENGTH_CURVE.getWeightAbove(curve, length);
    return (curve.integral[index + 1] as number) + width * (current + next) / 2;
  },
} as const;

function getLowerEdge(index: number): number {
  return index === 0 ? 0 : EDGES[index - 1] as number;
}

function computePosition(length: number): number {
  return length <= FIRST_EDGE_TOKENS
    ? 0
    : 1 + BUCKETS_PER_DOUBLING * Math.log2(length / FIRST_EDGE_TOKENS);
}

function locateBucket(length: number): number {
  return Math.min(BUCKET_COUNT - 1, Math.floor(computePosition(length)));
}
