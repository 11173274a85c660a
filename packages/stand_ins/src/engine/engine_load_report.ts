/** Self-reported load of an engine, delayed by its report lag. */
export interface EngineLoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly usedTokens: number;
  readonly capacityTokens: number;
  /** Preemptions since the start of the engine. */
  readonly preemptions: number;
  readonly leaving: boolean;
}
