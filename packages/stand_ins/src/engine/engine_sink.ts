/** Receives what the engine model produces; all times are milliseconds of the injected clock. */
export interface EngineSink {
  /** `count` tokens from `firstIndex` on, the first at `firstAtMs`, then one every `stepMs`. */
  addTokens(
    tokens: { id: string; firstIndex: number; count: number; firstAtMs: number; stepMs: number },
  ): void;
  finishJob(id: string, atMs: number): void;
  /** The job lost its memory and waits to be recomputed. */
  pauseJob(id: string, atMs: number): void;
}
