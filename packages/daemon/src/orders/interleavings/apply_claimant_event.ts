import type { ClaimantEvent } from "../claimant_event.ts";
import type { ClaimantEffect } from "../claimant_effect.ts";
import type { OrderMessage } from "../order_message_schema.ts";
import type { ModelMessage, ModelWorld } from "./model_world.ts";
import type { OrderDecisions } from "./order_decisions.ts";

/** Lets one claimant decide on an event, and applies what it wants done. */
export function applyClaimantEvent(
  world: ModelWorld,
  claimant: number,
  event: ClaimantEvent,
  decisions: OrderDecisions,
): ModelWorld {
  const current = world.claimants[claimant];
  if (current === undefined || current.isCrashed) {
    return world;
  }
  const time = { isLate: current.isLate, isStale: false };
  const { state, effects } = decisions.decideClaimant(current.state, event, time);
  const next = { ...current, state, isStarted: true };
  const claimants = world.claimants.with(claimant, next);
  return effects.reduce<ModelWorld>(
    (result, effect) => applyEffect(result, claimant, effect),
    { ...world, claimants },
  );
}

function applyEffect(world: ModelWorld, claimant: number, effect: ClaimantEffect): ModelWorld {
  if (effect.type === "send") {
    return { ...world, network: [...world.network, createMessage(world, claimant, effect)] };
  }
  if (effect.type === "dispatch" || effect.answer.type !== "outcome") {
    return world;
  }
  const { type } = effect.answer.outcome;
  return {
    ...world,
    isToldNotRun: world.isToldNotRun || type === "notRun",
    isToldRun: world.isToldRun || type === "completed",
  };
}

function createMessage(
  world: ModelWorld,
  claimant: number,
  effect: Extract<ClaimantEffect, { type: "send" }>,
): ModelMessage {
  const { replica, message: type, outcome } = effect;
  const keyed = {
    key: "k",
    claim: world.claimants[claimant]?.state.claim ?? "",
    digest: "d",
    incarnation: "i",
    epoch: 0,
  };
  const message = type === "record" ? { type, ...keyed, outcome } : { type, ...keyed };
  return { to: "replica", replica, claimant, message: message as OrderMessage };
}
