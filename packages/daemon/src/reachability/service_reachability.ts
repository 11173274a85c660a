/** What this host's connections to the upstreams of one service have shown. */
export interface ServiceReachability {
  /**
   * Upstreams that this host failed to reach since its last contact with the service: monotonic time
   * of the failure, by id.
   */
  readonly failures: Map<string, number>;
  /** Monotonic start of the latest attempt that failed. */
  failedAttemptAtMs: number;
  /** Monotonic start of the latest attempt that received a response. */
  reachedAttemptAtMs: number;
  /** Monotonic time since which the service is unreachable; undefined while it is reachable. */
  unreachableSinceMs: number | undefined;
}
