/** Receives the output of the engine model; all times are milliseconds on the model's clock. */
export interface EngineSink {
  /** Adds `count` tokens from `firstIndex`: the first at `firstAtMs`, then one every `stepMs`. */
  addTokens(
    tokens: { id: string; firstIndex: number; count: number; firstAtMs: number; stepMs: number },
  ): void;
  finishJob(id: string, atMs: number): void;
  /** The job was preempted: its KV cache was freed and it waits for recomputation. */
  pauseJob(id: string, atMs: number): void;
}
