/** Limits of the observation of connections. Times are in milliseconds. */
export const REACHABILITY_LIMITS = {
  /** Upstreams of a service that cannot be reached, one after another, before the service counts. */
  minFailedUpstreams: 2,
  /** Time for which a failed connection counts; later failures may have another cause. */
  failureMemoryMs: 3_000,
  /** Timeout of a probe; the deployments' links respond within 20 ms. */
  probeTimeoutMs: 200,
  /** Time for which a probe's connection must last. */
  probeHoldMs: 20,
  /** Interval between probes of an unreachable service, and least time between other probes. */
  probeIntervalMs: 500,
} as const;
