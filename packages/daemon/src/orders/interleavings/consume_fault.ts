import type { ModelFaults } from "./model_scenario.ts";
import type { ModelState } from "./model_state.ts";

/** Decrements the number of times that a fault may still occur. */
export function consumeFault(model: ModelState, fault: keyof ModelFaults): ModelState {
  return { ...model, faults: { ...model.faults, [fault]: model.faults[fault] - 1 } };
}
