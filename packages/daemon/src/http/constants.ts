/** Limits of the callers' listener. */
export const CALLER_LIMITS = {
  /** Largest request body, in bytes; `fleet/limits` may lower it. A larger one gets 413. */
  maxBodyBytes: 16 * 1024 * 1024,
  /** Largest request head, in bytes; a larger one gets 431. */
  maxHeaderBytes: 16 * 1024,
  /** Maximum number of open connections; the listener refuses further ones. */
  maxConnections: 20_000,
  /** Time to receive the request head, in milliseconds; a slower sender gets 408. */
  headersTimeoutMs: 10_000,
  /** Time to receive the whole request, in milliseconds; a slower sender gets 408. */
  requestTimeoutMs: 30_000,
  /** Interval at which connections are checked for the two timeouts above, in milliseconds. */
  checkIntervalMs: 1_000,
  /** Time for which an idle connection is kept open, in milliseconds. */
  keepAliveMs: 60_000,
} as const;
