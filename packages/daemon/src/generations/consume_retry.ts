import type { RetryBudgetState } from "./retry_budget_state.ts";

/** Takes one retry out of the budget; false when it is spent. */
export function consumeRetry(state: RetryBudgetState): boolean {
  if (state.tokens < 1) {
    return false;
  }
  state.tokens -= 1;
  return true;
}
