import { applyClaimantEvent } from "./apply_claimant_event.ts";
import type { ModelStep } from "./model_step.ts";
import type { ModelWorld } from "./model_world.ts";
import type { OrderDecisions } from "./order_decisions.ts";
import { consumeFault } from "./consume_fault.ts";

const COMPLETED = {
  type: "completed",
  status: 201,
  headers: {},
  body: new Uint8Array(),
  isBodyOmitted: false,
} as const;
const BROKEN = { type: "unknown", detail: "connection closed" } as const;

/** Returns the ends that a dispatch of each claimant may take. */
export function listDispatchSteps(world: ModelWorld, decisions: OrderDecisions): ModelStep[] {
  return world.claimants.flatMap((claimant, index) => {
    if (claimant.state.phase !== "dispatching" || claimant.isCrashed) {
      return [];
    }
    const sent = { ...world, dispatches: world.dispatches + 1 };
    const steps: ModelStep[] = [
      () => applyClaimantEvent(sent, index, { type: "dispatched", outcome: COMPLETED }, decisions),
    ];
    if (world.faults.breaks > 0) {
      const broken = consumeFault(sent, "breaks");
      const event = { type: "dispatched", outcome: BROKEN } as const;
      steps.push(() => applyClaimantEvent(broken, index, event, decisions));
    }
    if (world.faults.refusals > 0) {
      const refused = consumeFault(world, "refusals");
      steps.push(() => applyClaimantEvent(refused, index, { type: "refused" }, decisions));
    }
    if (world.faults.claimantCrashes > 0) {
      const crashed = { ...claimant, isCrashed: true };
      const claimants = world.claimants.with(index, crashed);
      steps.push(() => ({ ...consumeFault(sent, "claimantCrashes"), claimants }));
    }
    return steps;
  });
}
