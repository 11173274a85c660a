/** Failed attempts to reach a host in a row. */
export interface DialFailures {
  readonly count: number;
  /** Monotonic time before which no attempt is made. */
  readonly retryAtMs: number;
}
