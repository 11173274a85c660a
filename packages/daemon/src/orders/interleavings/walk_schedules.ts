import { createWorldFormat } from "./create_world_format.ts";
import type { Exploration } from "./exploration.ts";
import { findStuckKey } from "./find_stuck_key.ts";
import { findViolation } from "./find_violation.ts";
import { listModelSteps } from "./list_model_steps.ts";
import type { ModelWorld } from "./model_world.ts";
import type { OrderDecisions } from "./order_decisions.ts";

/** Walks every schedule from a world, depth first; equal worlds are walked once. */
export function walkSchedules(first: ModelWorld, decisions: OrderDecisions): Exploration {
  const schedulesFrom = new Map<string, number>();
  const formatWorld = createWorldFormat();
  let violation: string | undefined;

  const walkFrom = (world: ModelWorld): number => {
    const name = formatWorld(world);
    const known = schedulesFrom.get(name);
    if (known !== undefined || violation !== undefined) {
      return known ?? 0;
    }
    violation = findViolation(world);
    const steps = violation === undefined ? listModelSteps(world, decisions) : [];
    if (steps.length === 0) {
      violation ??= findStuckKey(world, decisions);
      schedulesFrom.set(name, 1);
      return 1;
    }
    const count = steps.reduce((sum, step) => sum + walkFrom(step()), 0);
    schedulesFrom.set(name, count);
    return count;
  };

  const schedules = walkFrom(first);
  const found = { schedules, worlds: schedulesFrom.size };
  return violation === undefined ? found : { ...found, violation };
}
