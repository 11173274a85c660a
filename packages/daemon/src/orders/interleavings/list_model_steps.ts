import { applyClaimantEvent } from "./apply_claimant_event.ts";
import { receiveMessage } from "./receive_message.ts";
import { listDispatchSteps } from "./list_dispatch_steps.ts";
import { listFaultSteps } from "./list_fault_steps.ts";
import type { ModelStep } from "./model_step.ts";
import type { ModelState } from "./model_state.ts";
import type { OrderDecisions } from "./order_decisions.ts";

/** Returns every possible next step; none at the end of a schedule. */
export function listModelSteps(model: ModelState, decisions: OrderDecisions): ModelStep[] {
  return [
    ...listStarts(model, decisions),
    ...listDeliveries(model, decisions),
    ...listDispatchSteps(model, decisions),
    ...listFaultSteps(model, decisions),
  ];
}

function listStarts(model: ModelState, decisions: OrderDecisions): ModelStep[] {
  return model.claimants.flatMap((claimant, index) =>
    claimant.isStarted || claimant.isCrashed
      ? []
      : [() => applyClaimantEvent(model, index, { type: "start" }, decisions)]
  );
}

/** Any message may be delivered next, once or twice, or be lost. */
function listDeliveries(model: ModelState, decisions: OrderDecisions): ModelStep[] {
  const { faults } = model;
  return model.network.flatMap((message, index) => {
    // In `taken` the message is no longer in flight; a duplicate leaves it in flight.
    const taken = { ...model, network: model.network.toSpliced(index, 1) };
    const steps = receiveMessage(taken, message, decisions);
    if (faults.losses > 0) {
      steps.push(() => ({ ...taken, faults: { ...faults, losses: faults.losses - 1 } }));
    }
    if (faults.duplicates > 0) {
      const modelWithMessage = {
        ...model,
        faults: { ...faults, duplicates: faults.duplicates - 1 },
      };
      steps.push(...receiveMessage(modelWithMessage, message, decisions));
    }
    return steps;
  });
}
