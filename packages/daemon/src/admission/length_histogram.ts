const FIRST_EDGE_TOKENS = 4;
const BUCKET_COUNT = 30;
const GROWTH = Math.SQRT2;

/** Upper edges of the buckets, in tokens; each is the square root of two times the one before. */
const EDGES = Array.from(
  { length: BUCKET_COUNT },
  (_, index) => FIRST_EDGE_TOKENS * GROWTH ** index,
);

/** Shape of the length histograms, and how to read them. */
export const LENGTH_HISTOGRAM = {
  edges: EDGES,
  /** Returns the bucket of a length; the last bucket holds everything longer. */
  findBucket: (length: number): number => {
    const index = EDGES.findIndex((edge) => length <= edge);
    return index < 0 ? BUCKET_COUNT - 1 : index;
  },
  /** Returns the weight of lengths above `length`, spreading each bucket evenly over its range. */
  sumAbove: (weights: readonly number[], length: number): number => {
    let sum = 0;
    for (let index = BUCKET_COUNT - 1; index >= 0; index--) {
      const high = EDGES[index] as number;
      const low = index === 0 ? 0 : EDGES[index - 1] as number;
      if (high <= length) {
        break;
      }
      const share = length <= low ? 1 : (high - length) / (high - low);
      sum += (weights[index] as number) * share;
    }
    return sum;
  },
} as const;
