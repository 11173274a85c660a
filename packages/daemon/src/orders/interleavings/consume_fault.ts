import type { ModelFaults } from "./model_scenario.ts";
import type { ModelWorld } from "./model_world.ts";

/** Counts one strike of a fault. */
export function consumeFault(world: ModelWorld, fault: keyof ModelFaults): ModelWorld {
  return { ...world, faults: { ...world.faults, [fault]: world.faults[fault] - 1 } };
}
