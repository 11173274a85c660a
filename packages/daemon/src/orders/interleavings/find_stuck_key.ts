import { createClaimantState } from "../create_claimant_state.ts";
import { applyClaimantEvent } from "./apply_claimant_event.ts";
import { receiveMessage } from "./receive_message.ts";
import { listDispatchSteps } from "./list_dispatch_steps.ts";
import type { ModelFaults } from "./model_scenario.ts";
import type { ModelState } from "./model_state.ts";
import type { OrderDecisions } from "./order_decisions.ts";

const NO_FAULTS: ModelFaults = {
  losses: 0,
  duplicates: 0,
  claimantCrashes: 0,
  restarts: 0,
  epochDrops: 0,
  earlyTimeouts: 0,
  lateResumes: 0,
  refusals: 0,
  brokenConnections: 0,
  handovers: 0,
};
const MAX_STEPS = 100;

/**
 * At the end of a schedule, repeats the order once without faults. If a majority of replicas still
 * has its records and no claimant has crashed, the repeat must end with an outcome.
 */
export function findStuckKey(model: ModelState, decisions: OrderDecisions): string | undefined {
  if (!isOutcomeExpected(model)) {
    return undefined;
  }
  const repeatIndex = model.claimants.length;
  const state = createClaimantState({
    claim: "repeat",
    digest: "d",
    replicas: model.replicas.length,
    upstreams: 1,
  });
  const claimant = { state, isStarted: false, isCrashed: false, isLate: false };
  const start = { ...model, faults: NO_FAULTS, claimants: [...model.claimants, claimant] };
  let current = applyClaimantEvent(start, repeatIndex, { type: "start" }, decisions);
  for (let step = 0; step < MAX_STEPS; step++) {
    const [message] = current.network;
    const next = message === undefined
      ? listDispatchSteps(current, decisions)
      : receiveMessage({ ...current, network: current.network.slice(1) }, message, decisions);
    const last = next.at(-1)?.();
    if (last === undefined) {
      break;
    }
    current = last;
  }
  const replies = current.claimants[repeatIndex]?.state.replies ?? [];
  const isReplayed = replies.some((reply) => reply?.type === "taken" && reply.outcome);
  const hasOutcome = current.claimants[repeatIndex]?.state.outcome !== undefined;
  return isReplayed || hasOutcome ? undefined : "key ends without an outcome";
}

function isOutcomeExpected(model: ModelState): boolean {
  const lost = model.replicas.filter((replica) =>
    replica.areRecordsLost ||
    (replica.process.duty.isFrozen &&
      !replica.successors.some(({ adoption }) => adoption.phase === "adopted"))
  ).length;
  return model.claimants.every((claimant) => !claimant.isCrashed) &&
    model.replicas.length - lost > model.replicas.length / 2;
}
