/** Result of a run of the load worker; times in milliseconds. */
export interface LoadResult {
  readonly tokens: number;
  readonly finished: number;
  readonly failed: number;
  /** Tokens per second in the steady part of the run. */
  readonly tokensPerSecond: number;
  /** Time from sending a request to its first token. */
  readonly firstTokenMs: Percentiles;
  /** Time from the emission of a token by the engine to its arrival, without first tokens. */
  readonly tokenMs: Percentiles;
}

/** Percentiles of a distribution. */
export interface Percentiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}
