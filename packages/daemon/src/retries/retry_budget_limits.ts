/** Retry budget of the fleet for one service, as its deployment states it. */
export interface RetryBudgetLimits {
  /** Repeats allowed in a window, as a share of its requests. */
  readonly ratio: number;
  /** Repeats in a window that all hosts together may make in addition to the ratio. */
  readonly slack: number;
  readonly windowMs: number;
}
