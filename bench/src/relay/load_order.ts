/** One run of the load worker. */
export interface LoadOrder {
  /** Base URL of the daemon, or of the engine itself. */
  readonly url: string;
  readonly target: "daemon" | "engine";
  readonly apiKey: string;
  /** Requests started in each second, evenly spaced; 0 starts all at once. */
  readonly requestsPerSecond: number;
  readonly requests: number;
  /** Tokens of each answer. */
  readonly tokens: number;
  /** Time between two tokens of an answer. */
  readonly gapMs: number;
  /** Ends the run after this time though streams still run; 0 waits for all. */
  readonly stopAfterMs: number;
}
