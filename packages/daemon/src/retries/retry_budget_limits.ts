/** Retry budget of the fleet for one service, as its deployment states it. */
export interface RetryBudgetLimits {
  /** Repeats allowed for each request in the window. */
  readonly ratio: number;
  /** Repeats in a window that all hosts together may make in addition to the ratio. */
  readonly slack: number;
  readonly windowMs: number;
}
