import type { ClaimantDecision } from "../decide_claimant.ts";
import type { Mutation } from "./mutation.ts";
import type { OrderDecisions } from "./order_decisions.ts";

type DecideClaimant = OrderDecisions["decideClaimant"];

/** Wraps the claimant's decision function, so that mutations don't duplicate its code. */
function createMutation(name: string, wrap: (decide: DecideClaimant) => DecideClaimant): Mutation {
  return {
    name,
    apply: (decisions) => ({ ...decisions, decideClaimant: wrap(decisions.decideClaimant) }),
  };
}

function dropSends(decision: ClaimantDecision, message: "release" | "record"): ClaimantDecision {
  const effects = decision.effects.filter((effect) =>
    effect.type !== "send" || effect.message !== message
  );
  return { ...decision, effects };
}

/** Deliberate errors in the claimant's decisions, each of which the exploration must detect. */
export const CLAIMANT_MUTATIONS: readonly Mutation[] = [
  createMutation(
    "skip the releases",
    (decide) => (state, event, time) => dropSends(decide(state, event, time), "release"),
  ),
  createMutation(
    "skip the recording of the outcome",
    (decide) => (state, event, time) => dropSends(decide(state, event, time), "record"),
  ),
  createMutation("dispatch again after the first byte", (decide) => (state, event, time) => {
    const hasFailedAfterFirstByte = event.type === "dispatched" && event.outcome.type === "unknown";
    return decide(state, hasFailedAfterFirstByte ? { type: "refused" } : event, time);
  }),
  createMutation(
    "dispatch with a minority",
    (decide) => (state, event, time) => decide({ ...state, majority: 1 }, event, time),
  ),
  createMutation("count grants after giving up", (decide) => (state, event, time) => {
    const isReopened = state.phase === "releasing" && event.type === "reply" &&
      event.to === "claim";
    return decide(isReopened ? { ...state, phase: "claiming" } : state, event, time);
  }),
  createMutation("release before the dispatch ends", (decide) => (state, event, time) => {
    const decision = decide(state, event, time);
    const isDispatched = decision.effects.some((effect) => effect.type === "dispatch");
    const release = { type: "send", message: "release", replica: 0 } as const;
    return isDispatched ? { ...decision, effects: [...decision.effects, release] } : decision;
  }),
  createMutation("report notRun without proof", (decide) => (state, event, time) => {
    const decision = decide(state, event, time);
    const outcome = { type: "notRun", detail: "no majority" } as const;
    const effects = decision.effects.map((effect) =>
      effect.type === "answer" && effect.answer.type !== "outcome"
        ? { type: "answer", answer: { type: "outcome", outcome, isReplay: false } } as const
        : effect
    );
    return { ...decision, effects };
  }),
  createMutation("report notRun after the first byte", (decide) => (state, event, time) => {
    const hasFailedAfterFirstByte = event.type === "dispatched" && event.outcome.type === "unknown";
    const outcome = { type: "notRun", detail: "connection closed" } as const;
    return decide(state, hasFailedAfterFirstByte ? { type: "dispatched", outcome } : event, time);
  }),
  createMutation("release after reporting notRun", (decide) => (state, event, time) => {
    const decision = decide(state, event, time);
    const effects = decision.effects.map((effect) =>
      effect.type === "send" && effect.outcome?.type === "notRun"
        ? { type: "send", message: "release", replica: effect.replica } as const
        : effect
    );
    return { ...decision, effects };
  }),
];
