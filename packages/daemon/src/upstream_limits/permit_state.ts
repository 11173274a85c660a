/** A request that waits for a permit. */
export interface WaitingRequest {
  /** Identifies the request in the fleet. */
  readonly key: string;
  /** Priority; the lowest number is first. */
  readonly priority: number;
  readonly arrivedAtMs: number;
  /** Monotonic time until which it may wait behind others. */
  readonly waitUntilMs: number;
  /** Monotonic time until which it may wait in one of the first places; its deadline. */
  readonly patientUntilMs: number;
  /** Monotonic time at which its place expires unless it is requested again. */
  readonly leaseUntilMs: number;
}

/** Permits of one limited upstream at the host that owns its limit. */
export interface PermitState {
  perSecond: number;
  /** Permits that may be granted now; a fraction of the next one. */
  permits: number;
  /** Monotonic time up to which `permits` is computed; in the future while the host settles. */
  updatedAtMs: number;
  readonly waiting: Map<string, WaitingRequest>;
  /** Monotonic time at which the caller that is refused next may return. */
  nextReturnAtMs: number;
  /** Number of refusals, from which the returns are spread within an interval. */
  refusals: number;
}
