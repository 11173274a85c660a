import type { HandoverEffect, HandoverEvent } from "../decide_handover.ts";
import type { ModelMessage, ModelReplica, ModelState } from "./model_state.ts";
import type { OrderDecisions } from "./order_decisions.ts";

/** Applies an event to the handover of a draining replica, and then the effects of its decision. */
export function applyHandoverEvent(
  model: ModelState,
  replica: number,
  event: HandoverEvent,
  decisions: OrderDecisions,
): ModelState {
  const current = model.replicas[replica];
  // Every replica starts as incarnation "i"; a restarted replica ("n") has no duty to hand over.
  if (current === undefined || current.process.duty.incarnation !== "i") {
    return model;
  }
  const { state, effects } = decisions.decideHandover(current.handover, event);
  const replicas = model.replicas.with(replica, { ...current, handover: state });
  return effects.reduce<ModelState>(
    (result, effect) => applyEffect(result, replica, effect),
    { ...model, replicas },
  );
}

function applyEffect(model: ModelState, replica: number, effect: HandoverEffect): ModelState {
  const current = model.replicas[replica];
  if (current === undefined) {
    return model;
  }
  if (effect.type === "freeze") {
    const frozen = markDutyFrozen(current);
    return { ...model, replicas: model.replicas.with(replica, frozen) };
  }
  const message: ModelMessage = {
    to: "successor",
    replica,
    successor: Number(effect.successor),
    type: effect.type,
    process: current.process,
  };
  return { ...model, network: [...model.network, message] };
}

function markDutyFrozen(replica: ModelReplica): ModelReplica {
  const duty = { ...replica.process.duty, isFrozen: true };
  return { ...replica, process: { ...replica.process, duty } };
}
