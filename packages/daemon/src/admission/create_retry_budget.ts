import { ADMISSION_LIMITS } from "./constants.ts";

/** Budget of retries inside the system. */
export interface RetryBudget {
  /** Adds the share of one first attempt. */
  noteFirstAttempt(ratio: number): void;
  /** Takes one retry; false when the budget is used up. */
  consumeRetry(): boolean;
}

/** Creates a budget that holds at most a bounded number of retries and starts with one. */
export function createRetryBudget(): RetryBudget {
  let available = 1;
  return {
    noteFirstAttempt: (ratio) => {
      available = Math.min(ADMISSION_LIMITS.maxRetryBudget, available + ratio);
    },
    consumeRetry: () => {
      if (available < 1) {
        return false;
      }
      available -= 1;
      return true;
    },
  };
}
