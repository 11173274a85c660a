/** Load of an engine as it last reported it; the values may be stale. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly usedTokens: number;
  readonly capacityTokens: number;
  /** Preemptions since the engine started. */
  readonly preemptions: number;
  readonly leaving: boolean;
}
