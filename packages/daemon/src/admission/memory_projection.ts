/** Numbers of further tokens for each generation at which memory is projected. */
const HORIZONS = [0, 32, 96, 192, 384, 768, 1_536, 3_072, 6_144] as const;

const NEGLIGIBLE_SURVIVAL = 0.05;

/** Memory that one generation holds now and may hold later. */
export interface MemoryShare {
  /** Prompt plus produced tokens. */
  readonly heldTokens: number;
  /** Probability of still running at each horizon. */
  readonly survival: readonly number[];
}

/** Sums of the expected memory and of its variance at each horizon. */
export interface MemorySums {
  readonly expected: number[];
  readonly variance: number[];
}

/** Projection of an engine's memory over the next tokens of every generation. */
export const MEMORY_PROJECTION = {
  horizons: HORIZONS,
  /** Adds up the shares of the running generations. */
  sumShares: (shares: Iterable<MemoryShare>): MemorySums => {
    const sums = { expected: HORIZONS.map(() => 0), variance: HORIZONS.map(() => 0) };
    for (const share of shares) {
      addShare(sums, share);
    }
    return sums;
  },
  addShare,
  /**
   * Returns the peak projected use, in tokens, while `share` probably runs. Memory that longer
   * generations need after that does not count, so it does not delay a short response.
   */
  projectPeak: (sums: MemorySums, share: MemoryShare, deviations: number): number =>
    HORIZONS.reduce<number>((peak, horizon, index) => {
      const survival = share.survival[index] as number;
      if (survival < NEGLIGIBLE_SURVIVAL) {
        return peak;
      }
      const size = share.heldTokens + horizon;
      const expected = (sums.expected[index] as number) + survival * size;
      const variance = (sums.variance[index] as number) + survival * (1 - survival) * size * size;
      return Math.max(peak, expected + deviations * Math.sqrt(variance));
    }, 0),
} as const;

function addShare(sums: MemorySums, share: MemoryShare): void {
  for (const [index, horizon] of HORIZONS.entries()) {
    const survival = share.survival[index] as number;
    const size = share.heldTokens + horizon;
    sums.expected[index] = (sums.expected[index] as number) + survival * size;
    sums.variance[index] = (sums.variance[index] as number) +
      survival * (1 - survival) * size * size;
  }
}
