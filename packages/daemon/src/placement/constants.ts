/** Limits and intervals of the placement slice. */
export const PLACEMENT_LIMITS = {
  /** Interval at which an owner observes its engines. */
  tickMs: 1_000,
  /** Delay before an engine that did not respond is observed again. */
  absentRetryMs: 30_000,
  /** Delay before a version whose ready check failed is loaded again. */
  failedRetryMs: 600_000,
  /**
   * Maximum number of stored failed versions; above it, the oldest is evicted and may be loaded
   * again.
   */
  maxFailedVersions: 1_000,
  /** Timeout for responses of peers about an order or a slot. */
  confirmMs: 1_000,
  /**
   * Number of peers that are queried to confirm an order to an engine that does not check fencing
   * tokens.
   */
  confirmPeers: 5,
  /** Time for which a host's promise excludes other slot owners. */
  promiseMs: 10_000,
  /** Time for which a majority of promises is valid for an owner; shorter than `promiseMs`. */
  ownerMs: 8_000,
  /** Interval at which an owner renews its promises. */
  renewMs: 2_000,
  /** Time within which a granted load must start. */
  startTimeoutMs: 3_000,
  /** Maximum duration of a load from the weight store; a longer one counts as ended. */
  maxLoadMs: 120_000,
} as const;
