/** Limits of calls to the etcd v3 JSON gateway. */
export const ETCD_LIMITS = {
  /** Time for one whole read, in milliseconds. */
  readTimeoutMs: 5_000,
  /** Time until a watch is open, in milliseconds. */
  openTimeoutMs: 5_000,
  /** Largest answer of a read, in bytes; a larger one fails the read. */
  maxReadBytes: 134_217_728,
  /** Longest line of a watch, in characters; a longer one ends the watch. */
  maxLineLength: 67_108_864,
} as const;
