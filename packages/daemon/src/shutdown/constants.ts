/** Intervals and timeouts of a graceful shutdown, in milliseconds. */
export const SHUTDOWN_LIMITS = {
  /** Interval at which the progress is checked. */
  checkMs: 20,
  /** Duration of one round in which hosts forward the leave of this host to their neighbours. */
  spreadRoundMs: 400,
  /** Interval at which requests that are still in flight are reported. */
  reportIntervalMs: 30_000,
  /** Timeout for a duty to hand over its state; after it the shutdown continues without it. */
  handOverTimeoutMs: 10_000,
} as const;
