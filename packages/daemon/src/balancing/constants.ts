/** Limits and weights for the choice of upstreams. */
export const BALANCING_LIMITS = {
  /**
   * Maximum planned share of an engine's KV cache, including a new generation; the rest absorbs
   * errors in estimated lengths.
   */
  plannedMemoryShare: 0.92,
  /** Maximum share of an engine's KV cache in use at which it accepts copies from other engines. */
  copyMemoryShare: 0.7,
  /** Prefill rate assumed until one is observed, in tokens per millisecond. */
  initialTokensPerMs: 5,
  /** Time between tokens assumed until one is observed, in milliseconds. */
  initialTokenMs: 10,
  /** Weight of a new observation in the moving averages of an upstream's performance. */
  observationWeight: 0.2,
  /** Maximum estimated time to the first token, as a share of the time left to the target. */
  firstTokenShare: 0.9,
  /** Maximum estimated time to prefill the prompts ahead of a new one, in milliseconds. */
  maxPrefillWaitMs: 1_000,
  /** Cost of a full KV cache, in milliseconds: errors in estimated lengths cost more there. */
  fullMemoryCostMs: 800,
  /** Weight of the decode time relative to the time to the first token. */
  decodeTimeWeight: 0.5,
  /** Weight of the time by which the prefill delays each running generation of the engine. */
  delayWeight: 0.3,
  /** Factor on the cost of an upstream that fails all its requests. */
  failureCost: 12,
  /**
   * Minimum estimate of a generation's remaining tokens, as a share of its produced tokens; it
   * applies near and beyond the expected length.
   */
  overrunShare: 0.35,
  /**
   * Share of a generation's remaining tokens that is added to the estimate of its KV cache, because
   * generations end at different times.
   */
  plannedRemainingShare: 0.6,
  /**
   * Largest fleet in which hosts report to each other directly, so that loads are some 10 ms old.
   * The upstream with the minimum cost is chosen there: at 8 hosts and 1.5 times the load that
   * served more than a random choice (`bench:engines`).
   */
  maxFreshHosts: 21,
  /**
   * Times that a request of another host at a plain upstream counts in a large fleet; the inverse is
   * the share of a difference between upstreams that is corrected within one report's age.
   */
  staleRequestFactor: 3,
  /** Age of a load that a relay has forwarded, in milliseconds. */
  relayedReportAgeMs: 100,
  /** Factor on an upstream's prefill rate during its slow start. */
  slowStartFactor: 0.5,
} as const;
