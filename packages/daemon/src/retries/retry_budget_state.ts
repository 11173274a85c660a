/** Counts for one tenth of the window. */
export interface BudgetSlot {
  readonly startMs: number;
  requests: number;
  repeats: number;
}

/** Requests and repeats of one service at this host; at most one slot more than in two windows. */
export interface RetryBudgetState {
  slots: BudgetSlot[];
}
