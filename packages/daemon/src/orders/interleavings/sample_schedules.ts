import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Exploration } from "./exploration.ts";
import { findStuckKey } from "./find_stuck_key.ts";
import { findViolation } from "./find_violation.ts";
import { listModelSteps } from "./list_model_steps.ts";
import type { ModelState } from "./model_state.ts";
import type { OrderDecisions } from "./order_decisions.ts";

/** Explores random schedules from a model state, the same ones for the same seed. */
export function sampleSchedules(
  initial: ModelState,
  decisions: OrderDecisions,
  options: { readonly schedules: number; readonly seed: number },
): Exploration {
  const generator = xoroshiro128plus(options.seed);
  let worlds = 0;
  for (let schedule = 1; schedule <= options.schedules; schedule++) {
    let model = initial;
    for (;;) {
      worlds++;
      const steps = listModelSteps(model, decisions);
      const next = steps[steps.length === 0 ? 0 : uniformInt(generator, 0, steps.length - 1)];
      const violation = findViolation(model) ??
        (next === undefined ? findStuckKey(model, decisions) : undefined);
      if (violation !== undefined) {
        return { schedules: schedule, worlds, violation };
      }
      if (next === undefined) {
        break;
      }
      model = next();
    }
  }
  return { schedules: options.schedules, worlds };
}
