import type { ClaimantEvent } from "../claimant_event.ts";
import type { ClaimantEffect } from "../claimant_effect.ts";
import type { OrderMessage } from "../order_message_schema.ts";
import type { ModelMessage, ModelState } from "./model_state.ts";
import type { OrderDecisions } from "./order_decisions.ts";

/** Applies an event to one claimant, and then the effects of its decision. */
export function applyClaimantEvent(
  model: ModelState,
  claimant: number,
  event: ClaimantEvent,
  decisions: OrderDecisions,
): ModelState {
  const current = model.claimants[claimant];
  if (current === undefined || current.isCrashed) {
    return model;
  }
  const time = { isLate: current.isLate, isStale: false };
  const { state, effects } = decisions.decideClaimant(current.state, event, time);
  const next = { ...current, state, isStarted: true };
  const claimants = model.claimants.with(claimant, next);
  return effects.reduce<ModelState>(
    (result, effect) => applyEffect(result, claimant, effect),
    { ...model, claimants },
  );
}

function applyEffect(model: ModelState, claimant: number, effect: ClaimantEffect): ModelState {
  if (effect.type === "send") {
    return { ...model, network: [...model.network, createMessage(model, claimant, effect)] };
  }
  if (effect.type === "dispatch" || effect.answer.type !== "outcome") {
    return model;
  }
  const { type } = effect.answer.outcome;
  return {
    ...model,
    isNotRunReported: model.isNotRunReported || type === "notRun",
    isCompletionReported: model.isCompletionReported || type === "completed",
  };
}

function createMessage(
  model: ModelState,
  claimant: number,
  effect: Extract<ClaimantEffect, { type: "send" }>,
): ModelMessage {
  const { replica, message: type, outcome } = effect;
  const commonFields = {
    key: "k",
    claim: model.claimants[claimant]?.state.claim ?? "",
    digest: "d",
    incarnation: "i",
    epoch: 0,
  };
  const message = type === "record"
    ? { type, ...commonFields, outcome }
    : { type, ...commonFields };
  return { to: "replica", replica, claimant, message: message as OrderMessage };
}
