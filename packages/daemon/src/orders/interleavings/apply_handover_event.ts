import type { HandoverEffect, HandoverEvent } from "../decide_handover.ts";
import type { ModelMessage, ModelReplica, ModelWorld } from "./model_world.ts";
import type { OrderDecisions } from "./order_decisions.ts";

/** Lets a leaving replica decide on an event of its handover, and applies what it wants done. */
export function applyHandoverEvent(
  world: ModelWorld,
  replica: number,
  event: HandoverEvent,
  decisions: OrderDecisions,
): ModelWorld {
  const current = world.replicas[replica];
  if (current === undefined || current.process.duty.incarnation !== "i") {
    return world;
  }
  const { state, effects } = decisions.decideHandover(current.handover, event);
  const replicas = world.replicas.with(replica, { ...current, handover: state });
  return effects.reduce<ModelWorld>(
    (result, effect) => applyEffect(result, replica, effect),
    { ...world, replicas },
  );
}

function applyEffect(world: ModelWorld, replica: number, effect: HandoverEffect): ModelWorld {
  const current = world.replicas[replica];
  if (current === undefined) {
    return world;
  }
  if (effect.type === "freeze") {
    const frozen = stopReplica(current);
    return { ...world, replicas: world.replicas.with(replica, frozen) };
  }
  const message: ModelMessage = {
    to: "successor",
    replica,
    successor: Number(effect.successor),
    type: effect.type,
    process: current.process,
  };
  return { ...world, network: [...world.network, message] };
}

function stopReplica(replica: ModelReplica): ModelReplica {
  const duty = { ...replica.process.duty, isFrozen: true };
  return { ...replica, process: { ...replica.process, duty } };
}
