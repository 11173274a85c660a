/** How evenly requests lie on upstreams. */
export interface LoadSpread {
  /** Largest number of requests divided by the mean; 1 without requests. */
  readonly spread: number;
  /** Share of upstreams without a request. */
  readonly idleShare: number;
}

/** Computes the spread of the numbers of requests by upstream, of which there is at least one. */
export function computeLoadSpread(counts: readonly number[]): LoadSpread {
  const total = counts.reduce((sum, count) => sum + count, 0);
  return {
    spread: total === 0 ? 1 : Math.max(...counts) * counts.length / total,
    idleShare: counts.filter((count) => count === 0).length / counts.length,
  };
}
