/** What an engine says about itself; older than now by the engine's report lag. */
export interface EngineLoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly usedTokens: number;
  readonly capacityTokens: number;
  /** Preemptions since the start of the engine. */
  readonly preemptions: number;
  readonly leaving: boolean;
}
