/** Rules and budgets for retries of requests. @module */
export type { AnswerHead } from "./answer_head.ts";
export type { AttemptOutcome } from "./attempt_outcome.ts";
export { RETRY_LIMITS } from "./constants.ts";
export { countBudget } from "./count_budget.ts";
export { decideOutcome } from "./decide_outcome.ts";
export { decideRetry } from "./decide_retry.ts";
export type { AttemptHistory, RetryDecision } from "./decide_retry.ts";
export { hasNotExecuted } from "./has_not_executed.ts";
export { hasRetryBudget } from "./has_retry_budget.ts";
export type { RetryBudgetLimits } from "./retry_budget_limits.ts";
export type { RetryBudgetState } from "./retry_budget_state.ts";
