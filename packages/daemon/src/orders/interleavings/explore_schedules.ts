import { createStateFormat } from "./create_state_format.ts";
import type { Exploration } from "./exploration.ts";
import { findStuckKey } from "./find_stuck_key.ts";
import { findViolation } from "./find_violation.ts";
import { listModelSteps } from "./list_model_steps.ts";
import type { ModelState } from "./model_state.ts";
import type { OrderDecisions } from "./order_decisions.ts";

/** Explores every schedule from a model state, depth first; visits equal states once. */
export function exploreSchedules(initial: ModelState, decisions: OrderDecisions): Exploration {
  const scheduleCounts = new Map<string, number>();
  const formatState = createStateFormat();
  let violation: string | undefined;

  const exploreFrom = (model: ModelState): number => {
    const name = formatState(model);
    const known = scheduleCounts.get(name);
    if (known !== undefined || violation !== undefined) {
      return known ?? 0;
    }
    violation = findViolation(model);
    const steps = violation === undefined ? listModelSteps(model, decisions) : [];
    if (steps.length === 0) {
      violation ??= findStuckKey(model, decisions);
      scheduleCounts.set(name, 1);
      return 1;
    }
    const count = steps.reduce((sum, step) => sum + exploreFrom(step()), 0);
    scheduleCounts.set(name, count);
    return count;
  };

  const schedules = exploreFrom(initial);
  const found = { schedules, worlds: scheduleCounts.size };
  return violation === undefined ? found : { ...found, violation };
}
