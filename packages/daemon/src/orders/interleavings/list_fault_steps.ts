import { applyClaimantEvent } from "./apply_claimant_event.ts";
import { applyHandoverEvent } from "./apply_handover_event.ts";
import type { ModelFaults } from "./model_scenario.ts";
import type { ModelStep } from "./model_step.ts";
import type { ModelProcess, ModelWorld } from "./model_world.ts";
import type { OrderDecisions } from "./order_decisions.ts";
import { consumeFault } from "./consume_fault.ts";

/** Returns each fault that may still strike, and the due timeouts. */
export function listFaultSteps(world: ModelWorld, decisions: OrderDecisions): ModelStep[] {
  return [
    ...listClaimantFaults(world, decisions),
    ...world.replicas.flatMap((_replica, index) => listReplicaFaults(world, index)),
    ...world.replicas.flatMap((_replica, index) => listHandoverSteps(world, index, decisions)),
  ];
}

function listClaimantFaults(world: ModelWorld, decisions: OrderDecisions): ModelStep[] {
  const { faults } = world;
  const isHandingOver = world.replicas.some(({ handover }) =>
    handover.phase === "staging" || handover.phase === "committing"
  );
  return world.claimants.flatMap((claimant, index) => {
    const { phase } = claimant.state;
    if (!claimant.isStarted || claimant.isCrashed || phase === "ended") {
      return [];
    }
    const steps: ModelStep[] = [];
    const isWaiting = phase !== "dispatching";
    const isDue = !isHandingOver &&
      !world.network.some((message) => "claimant" in message && message.claimant === index);
    if (isWaiting && (isDue || faults.earlyTimeouts > 0)) {
      const next = isDue ? world : consumeFault(world, "earlyTimeouts");
      steps.push(() => applyClaimantEvent(next, index, { type: "timeout" }, decisions));
    }
    if (faults.claimantCrashes > 0) {
      const claimants = world.claimants.with(index, { ...claimant, isCrashed: true });
      steps.push(() => ({ ...consumeFault(world, "claimantCrashes"), claimants }));
    }
    if (faults.lateWakes > 0 && !claimant.isLate) {
      const claimants = world.claimants.with(index, { ...claimant, isLate: true });
      steps.push(() => ({ ...consumeFault(world, "lateWakes"), claimants }));
    }
    return steps;
  });
}

function listReplicaFaults(world: ModelWorld, index: number): ModelStep[] {
  const replica = world.replicas[index];
  if (replica === undefined || replica.isMemoryLost) {
    return [];
  }
  const { duty } = replica.process;
  const lose = (process: ModelProcess, fault: keyof ModelFaults) => ({
    ...consumeFault(world, fault),
    replicas: world.replicas.with(index, { ...replica, process, isMemoryLost: true }),
  });
  const steps: ModelStep[] = [];
  if (world.faults.restarts > 0) {
    const restarted = { ...duty, incarnation: "n", isFrozen: false };
    steps.push(() => lose({ duty: restarted, record: undefined }, "restarts"));
  }
  if (world.faults.epochDrops > 0) {
    const dropped = { ...duty, epoch: duty.epoch + 1, oldestEpoch: 1 };
    steps.push(() => lose({ duty: dropped, record: undefined }, "epochDrops"));
  }
  return steps;
}

function listHandoverSteps(
  world: ModelWorld,
  index: number,
  decisions: OrderDecisions,
): ModelStep[] {
  const replica = world.replicas[index];
  if (replica === undefined || replica.process.duty.incarnation !== "i") {
    return [];
  }
  const { phase } = replica.handover;
  if (phase === "serving" && world.faults.handovers > 0) {
    const candidates = replica.successors.map((_successor, successor) => String(successor));
    const event = { type: "start", candidates } as const;
    return [() => applyHandoverEvent(consumeFault(world, "handovers"), index, event, decisions)];
  }
  const isDue = !world.network.some((message) =>
    (message.to === "successor" || message.to === "leaver") && message.replica === index
  );
  const isOpen = phase === "staging" || phase === "committing";
  if (!isOpen || !(isDue || world.faults.earlyTimeouts > 0)) {
    return [];
  }
  const next = isDue ? world : consumeFault(world, "earlyTimeouts");
  return [() => applyHandoverEvent(next, index, { type: "timeout" }, decisions)];
}
