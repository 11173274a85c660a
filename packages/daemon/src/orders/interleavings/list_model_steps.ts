import { applyClaimantEvent } from "./apply_claimant_event.ts";
import { receiveMessage } from "./receive_message.ts";
import { listDispatchSteps } from "./list_dispatch_steps.ts";
import { listFaultSteps } from "./list_fault_steps.ts";
import type { ModelStep } from "./model_step.ts";
import type { ModelWorld } from "./model_world.ts";
import type { OrderDecisions } from "./order_decisions.ts";

/** Returns every possible next step; none at the end of a schedule. */
export function listModelSteps(world: ModelWorld, decisions: OrderDecisions): ModelStep[] {
  return [
    ...listStarts(world, decisions),
    ...listDeliveries(world, decisions),
    ...listDispatchSteps(world, decisions),
    ...listFaultSteps(world, decisions),
  ];
}

function listStarts(world: ModelWorld, decisions: OrderDecisions): ModelStep[] {
  return world.claimants.flatMap((claimant, index) =>
    claimant.isStarted || claimant.isCrashed
      ? []
      : [() => applyClaimantEvent(world, index, { type: "start" }, decisions)]
  );
}

/** Each message may come next, once or twice, or get lost. */
function listDeliveries(world: ModelWorld, decisions: OrderDecisions): ModelStep[] {
  const { faults } = world;
  return world.network.flatMap((message, index) => {
    const taken = { ...world, network: world.network.toSpliced(index, 1) };
    const steps = receiveMessage(taken, message, decisions);
    if (faults.losses > 0) {
      steps.push(() => ({ ...taken, faults: { ...faults, losses: faults.losses - 1 } }));
    }
    if (faults.duplicates > 0) {
      const kept = { ...world, faults: { ...faults, duplicates: faults.duplicates - 1 } };
      steps.push(...receiveMessage(kept, message, decisions));
    }
    return steps;
  });
}
