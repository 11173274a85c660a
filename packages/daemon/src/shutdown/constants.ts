/** Periods of a graceful shutdown, in milliseconds. */
export const SHUTDOWN_LIMITS = {
  /** Period at which the progress is checked. */
  checkMs: 20,
  /** Time that one round of the overlay takes to pass on that this host leaves. */
  spreadRoundMs: 400,
  /** Period at which requests that still run are reported. */
  reportIntervalMs: 30_000,
  /** Time that one duty has to hand over its state; then the shutdown goes on without it. */
  handOverTimeoutMs: 10_000,
} as const;
