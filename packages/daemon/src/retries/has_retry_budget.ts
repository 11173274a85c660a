import { SLOTS_PER_WINDOW } from "./slots_per_window.ts";
import type { RetryBudgetLimits } from "./retry_budget_limits.ts";
import type { RetryBudgetState } from "./retry_budget_state.ts";

/**
 * Share of the fleet's slack that is used; the rest is a margin for hosts that disagree on the
 * number of hosts.
 */
const USABLE_SLACK_SHARE = 0.6;

/**
 * Whether the retry budget of this host allows another repeat. The ratio applies to the requests of
 * this host; the slack is divided by `hosts`, the maximum number of hosts that may be using it now.
 */
export function hasRetryBudget(
  state: RetryBudgetState,
  limits: RetryBudgetLimits,
  hosts: number,
  nowMs: number,
): boolean {
  // A slot holds repeats made up to one slot length after its start, so it counts for that much
  // longer than the window.
  const repeatWindowMs = limits.windowMs * (1 + 1 / SLOTS_PER_WINDOW);
  const countSince = (field: "requests" | "repeats", ageMs: number) =>
    state.slots.filter(({ startMs }) => nowMs - startMs < ageMs)
      .reduce((sum, slot) => sum + slot[field], 0);
  const requests = countSince("requests", limits.windowMs);
  const repeats = countSince("repeats", repeatWindowMs);
  const slack = limits.slack * USABLE_SLACK_SHARE / Math.max(1, hosts);
  return repeats + 1 <= requests * limits.ratio + slack;
}
