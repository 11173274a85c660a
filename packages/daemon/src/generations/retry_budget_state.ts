/** Token bucket for retries: each request adds a fraction of a token, each retry takes one. */
export interface RetryBudgetState {
  /** Between 0 and the burst size; tokens above the burst size are dropped. */
  tokens: number;
}

/** Adds `ratio` tokens for one request, up to the burst size. */
export function refillRetryBudget(state: RetryBudgetState, ratio: number, burst: number): void {
  state.tokens = Math.min(burst, state.tokens + ratio);
}
