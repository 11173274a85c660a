import { applyClaimantEvent } from "./apply_claimant_event.ts";
import type { ModelStep } from "./model_step.ts";
import type { ModelState } from "./model_state.ts";
import type { OrderDecisions } from "./order_decisions.ts";
import { consumeFault } from "./consume_fault.ts";

const COMPLETED = {
  type: "completed",
  status: 201,
  headers: {},
  body: new Uint8Array(),
  isBodyOmitted: false,
} as const;
const CONNECTION_CLOSED = { type: "unknown", detail: "connection closed" } as const;

/**
 * Lists the steps that can end the dispatch of each claimant. In the model state `sent` the call
 * has reached the service; in `refused` it has not.
 */
export function listDispatchSteps(model: ModelState, decisions: OrderDecisions): ModelStep[] {
  return model.claimants.flatMap((claimant, index) => {
    if (claimant.state.phase !== "dispatching" || claimant.isCrashed) {
      return [];
    }
    const sent = { ...model, dispatchCount: model.dispatchCount + 1 };
    const steps: ModelStep[] = [
      () => applyClaimantEvent(sent, index, { type: "dispatched", outcome: COMPLETED }, decisions),
    ];
    if (model.faults.brokenConnections > 0) {
      const broken = consumeFault(sent, "brokenConnections");
      const event = { type: "dispatched", outcome: CONNECTION_CLOSED } as const;
      steps.push(() => applyClaimantEvent(broken, index, event, decisions));
    }
    if (model.faults.refusals > 0) {
      const refused = consumeFault(model, "refusals");
      steps.push(() => applyClaimantEvent(refused, index, { type: "refused" }, decisions));
    }
    if (model.faults.claimantCrashes > 0) {
      const crashed = { ...claimant, isCrashed: true };
      const claimants = model.claimants.with(index, crashed);
      steps.push(() => ({ ...consumeFault(sent, "claimantCrashes"), claimants }));
    }
    return steps;
  });
}
