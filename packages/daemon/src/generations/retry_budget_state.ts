/** Retry tokens: each first attempt earns a share of one, each retry costs one. */
export interface RetryBudgetState {
  /** Between 0 and the burst; at the burst further earnings are dropped. */
  tokens: number;
}

/** Earns the share of one first attempt. */
export function refillRetryBudget(state: RetryBudgetState, ratio: number, burst: number): void {
  state.tokens = Math.min(burst, state.tokens + ratio);
}
