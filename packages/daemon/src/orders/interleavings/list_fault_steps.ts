import { applyClaimantEvent } from "./apply_claimant_event.ts";
import { applyHandoverEvent } from "./apply_handover_event.ts";
import type { ModelFaults } from "./model_scenario.ts";
import type { ModelStep } from "./model_step.ts";
import type { ModelProcess, ModelState } from "./model_state.ts";
import type { OrderDecisions } from "./order_decisions.ts";
import { consumeFault } from "./consume_fault.ts";

/** Returns the faults that may still occur, and the timeouts that are due. */
export function listFaultSteps(model: ModelState, decisions: OrderDecisions): ModelStep[] {
  return [
    ...listClaimantFaults(model, decisions),
    ...model.replicas.flatMap((_replica, index) => listReplicaFaults(model, index)),
    ...model.replicas.flatMap((_replica, index) => listHandoverSteps(model, index, decisions)),
  ];
}

function listClaimantFaults(model: ModelState, decisions: OrderDecisions): ModelStep[] {
  const { faults } = model;
  const isHandingOver = model.replicas.some(({ handover }) =>
    handover.phase === "staging" || handover.phase === "committing"
  );
  return model.claimants.flatMap((claimant, index) => {
    const { phase } = claimant.state;
    if (!claimant.isStarted || claimant.isCrashed || phase === "ended") {
      return [];
    }
    const steps: ModelStep[] = [];
    const isWaiting = phase !== "dispatching";
    const isDue = !isHandingOver &&
      !model.network.some((message) => "claimant" in message && message.claimant === index);
    if (isWaiting && (isDue || faults.earlyTimeouts > 0)) {
      const next = isDue ? model : consumeFault(model, "earlyTimeouts");
      steps.push(() => applyClaimantEvent(next, index, { type: "timeout" }, decisions));
    }
    if (faults.claimantCrashes > 0) {
      const claimants = model.claimants.with(index, { ...claimant, isCrashed: true });
      steps.push(() => ({ ...consumeFault(model, "claimantCrashes"), claimants }));
    }
    if (faults.lateResumes > 0 && !claimant.isLate) {
      const claimants = model.claimants.with(index, { ...claimant, isLate: true });
      steps.push(() => ({ ...consumeFault(model, "lateResumes"), claimants }));
    }
    return steps;
  });
}

function listReplicaFaults(model: ModelState, index: number): ModelStep[] {
  const replica = model.replicas[index];
  if (replica === undefined || replica.areRecordsLost) {
    return [];
  }
  const { duty } = replica.process;
  const dropRecords = (process: ModelProcess, fault: keyof ModelFaults) => ({
    ...consumeFault(model, fault),
    replicas: model.replicas.with(index, { ...replica, process, areRecordsLost: true }),
  });
  const steps: ModelStep[] = [];
  if (model.faults.restarts > 0) {
    const restartedDuty = { ...duty, incarnation: "n", isFrozen: false };
    steps.push(() => dropRecords({ duty: restartedDuty, record: undefined }, "restarts"));
  }
  if (model.faults.epochDrops > 0) {
    const advancedDuty = { ...duty, epoch: duty.epoch + 1, oldestEpoch: 1 };
    steps.push(() => dropRecords({ duty: advancedDuty, record: undefined }, "epochDrops"));
  }
  return steps;
}

function listHandoverSteps(
  model: ModelState,
  index: number,
  decisions: OrderDecisions,
): ModelStep[] {
  const replica = model.replicas[index];
  // Every replica starts as incarnation "i"; a restarted replica ("n") has no duty to hand over.
  if (replica === undefined || replica.process.duty.incarnation !== "i") {
    return [];
  }
  const { phase } = replica.handover;
  if (phase === "serving" && model.faults.handovers > 0) {
    const candidates = replica.successors.map((_successor, successor) => String(successor));
    const event = { type: "start", candidates } as const;
    return [() => applyHandoverEvent(consumeFault(model, "handovers"), index, event, decisions)];
  }
  const isDue = !model.network.some((message) =>
    (message.to === "successor" || message.to === "predecessor") && message.replica === index
  );
  const isHandingOver = phase === "staging" || phase === "committing";
  if (!isHandingOver || !(isDue || model.faults.earlyTimeouts > 0)) {
    return [];
  }
  const next = isDue ? model : consumeFault(model, "earlyTimeouts");
  return [() => applyHandoverEvent(next, index, { type: "timeout" }, decisions)];
}
