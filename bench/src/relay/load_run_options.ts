/** Options of one run of the load worker. */
export interface LoadRunOptions {
  /** Base URL of the daemon or the engine. */
  readonly url: string;
  readonly target: "daemon" | "engine";
  readonly apiKey: string;
  /** Requests started in each second, evenly spaced; 0 starts all at once. */
  readonly requestsPerSecond: number;
  readonly requests: number;
  /** Tokens of each response. */
  readonly tokens: number;
  /** Time between two tokens of a response. */
  readonly gapMs: number;
  /** Ends the run after this time even if streams are still open; 0 waits for all streams. */
  readonly stopAfterMs: number;
}
