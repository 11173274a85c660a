/** Limits of calls to the etcd v3 JSON gateway. */
export const ETCD_LIMITS = {
  /** Timeout of one complete read, in milliseconds. */
  readTimeoutMs: 5_000,
  /** Timeout for opening a watch, in milliseconds. */
  openTimeoutMs: 5_000,
  /** Largest response to a read, in bytes; a larger one fails the read. */
  maxReadBytes: 134_217_728,
  /** Longest line of a watch, in characters; a longer one ends the watch. */
  maxLineLength: 67_108_864,
} as const;
