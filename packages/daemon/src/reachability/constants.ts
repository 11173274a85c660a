/** Limits of the observation of connections. Times are in milliseconds. */
export const REACHABILITY_LIMITS = {
  /** Upstreams of a service that cannot be reached, one after another, before the service counts. */
  minFailedUpstreams: 2,
  /** Time for which a failed connection counts; later failures may have another cause. */
  failureMemoryMs: 3_000,
} as const;
