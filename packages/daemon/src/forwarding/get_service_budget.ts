import { countBudget, hasRetryBudget } from "../retries/mod.ts";
import type { RetryBudgetState } from "../retries/mod.ts";
import type { ForwardingContext } from "./forwarding_context.ts";

/** The retry budget of one service at this host. */
export interface ServiceBudget {
  countRequest(): void;
  countRetry(): void;
  hasRoom(): boolean;
}

/** Returns the retry budget of a service; creates its state on first use. */
export function getServiceBudget(context: ForwardingContext, service: string): ServiceBudget {
  const { budgets, budgetLimits, clock } = context;
  const known = budgets.get(service);
  const state: RetryBudgetState = known ?? { slots: [] };
  if (known === undefined) {
    budgets.set(service, state);
  }
  const count = (counter: "requests" | "repeats") =>
    countBudget(state, counter, budgetLimits.windowMs, clock.readMonotonicMs());
  return {
    countRequest: () => count("requests"),
    countRetry: () => count("repeats"),
    hasRoom: () =>
      hasRetryBudget(
        state,
        budgetLimits,
        context.countHostsSharingRetryBudget(),
        clock.readMonotonicMs(),
      ),
  };
}
