import type { RetryBudgetState } from "./retry_budget_state.ts";

/** Takes one retry token from the budget; returns false when none is left. */
export function consumeRetry(state: RetryBudgetState): boolean {
  if (state.tokens < 1) {
    return false;
  }
  state.tokens -= 1;
  return true;
}
