import type { BudgetSlot, RetryBudgetState } from "./retry_budget_state.ts";
import { SLOTS_PER_WINDOW } from "./slots_per_window.ts";

/** Counts a request or a repeat, and removes slots that are older than two windows. */
export function countBudget(
  state: RetryBudgetState,
  counter: "requests" | "repeats",
  windowMs: number,
  nowMs: number,
): void {
  let slot = state.slots.at(-1);
  if (slot === undefined || nowMs - slot.startMs >= windowMs / SLOTS_PER_WINDOW) {
    const fresh: BudgetSlot = { startMs: nowMs, requests: 0, repeats: 0 };
    state.slots = state.slots.filter(({ startMs }) => nowMs - startMs < windowMs * 2);
    state.slots.push(fresh);
    slot = fresh;
  }
  slot[counter]++;
}
