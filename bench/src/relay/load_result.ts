/** What a run of the load worker saw; times in milliseconds. */
export interface LoadResult {
  readonly tokens: number;
  readonly finished: number;
  readonly failed: number;
  /** Tokens for each second of the steady part of the run. */
  readonly tokensPerSecond: number;
  /** Time from sending a request to its first token. */
  readonly firstTokenMs: Percentiles;
  /** Time from the engine's emission of a token to its arrival, without the first ones. */
  readonly tokenMs: Percentiles;
}

/** Percentiles of a distribution. */
export interface Percentiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}
