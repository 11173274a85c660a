/** Consecutive failed attempts to dial a host. */
export interface DialFailures {
  readonly count: number;
  /** Monotonic time before which no further attempt is made. */
  readonly retryAtMs: number;
}
