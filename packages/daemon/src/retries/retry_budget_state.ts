/** Counts for one tenth of the window. */
export interface BudgetSlot {
  readonly startMs: number;
  requests: number;
  repeats: number;
}

/** Requests and repeats of one service at this host; at most the slots of two windows and one. */
export interface RetryBudgetState {
  slots: BudgetSlot[];
}
