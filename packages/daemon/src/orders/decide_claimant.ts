import type { ClaimantEffect } from "./claimant_effect.ts";
import type { ClaimantEvent, ClaimantTime } from "./claimant_event.ts";
import type { ClaimantState } from "./claimant_state.ts";
import { ORDER_LIMITS } from "./constants.ts";
import { decideAnswerWithoutMajority } from "./decide_answer_without_majority.ts";
import type { OrderOutcome } from "./order_outcome_schema.ts";
import type { OrderReply } from "./order_reply_schema.ts";

/** Result of {@link decideClaimant}. */
export interface ClaimantDecision {
  readonly state: ClaimantState;
  readonly effects: readonly ClaimantEffect[];
}

type Reply = Extract<ClaimantEvent, { type: "reply" }>;

/**
 * Advances one attempt. It dispatches only from the claiming phase with a majority of grants. It
 * releases only after it has given up, which is final, so a released grant is never counted.
 */
export function decideClaimant(
  state: ClaimantState,
  event: ClaimantEvent,
  time: ClaimantTime,
): ClaimantDecision {
  switch (event.type) {
    case "start":
      return startClaiming(state);
    case "reply":
      return event.to === "claim"
        ? applyClaimReply(state, event, time)
        : applyAcknowledgement(state, event);
    case "timeout":
      return applyTimeout(state);
    case "refused":
      return applyRefusal(state, time);
    case "dispatched":
      return state.phase === "dispatching"
        ? startRecording(state, event.outcome)
        : createDecision(state);
  }
}

function applyClaimReply(
  state: ClaimantState,
  event: Reply,
  time: ClaimantTime,
): ClaimantDecision {
  if (state.phase !== "claiming") {
    return createDecision(state);
  }
  const replies = state.replies.with(event.replica, event.reply);
  const next = { ...state, replies };
  const granted = replies.filter((reply) => reply?.type === "granted").length;
  if (granted >= state.majority) {
    return startDispatch(next, time);
  }
  const isOutcomeKnown = event.reply.type === "taken" && event.reply.outcome !== undefined;
  // Even if no majority is possible any more, the last replica may know the outcome.
  const hasAllReplies = replies.every((reply) => reply !== undefined);
  return isOutcomeKnown || hasAllReplies ? startReleasing(next) : createDecision(next);
}

function startClaiming(state: ClaimantState): ClaimantDecision {
  const replies = state.replies.map(() => undefined);
  const next = { ...state, replies, claimRounds: state.claimRounds + 1 };
  return { state: next, effects: createSends(next, "claim") };
}

/**
 * Dispatches the call, unless its deadline has passed. If the claims were sent too long ago, sends
 * them again first, because the duties may have moved to other hosts in the meantime.
 */
function startDispatch(state: ClaimantState, time: ClaimantTime): ClaimantDecision {
  if (time.isLate) {
    return startRecording(state, { type: "notRun", detail: "deadline passed before the dispatch" });
  }
  if (!time.isStale) {
    return { state: { ...state, phase: "dispatching" }, effects: [{ type: "dispatch" }] };
  }
  return state.claimRounds < ORDER_LIMITS.maxClaimRounds
    ? startClaiming(state)
    : startReleasing(state);
}

function applyAcknowledgement(state: ClaimantState, event: Reply): ClaimantDecision {
  const awaited = state.phase === "recording" ? "record" : "release";
  const isAwaitingAcknowledgement = state.phase === "recording" || state.phase === "releasing";
  if (!isAwaitingAcknowledgement || event.to !== awaited || !isApplied(event.reply)) {
    return createDecision(state);
  }
  const acknowledged = state.acknowledged.with(event.replica, true);
  const count = acknowledged.filter(Boolean).length;
  const phase = count === acknowledged.length ? "ended" : state.phase;
  const next = { ...state, acknowledged, phase } as const;
  return count >= state.majority ? answerOutcome(next) : createDecision(next);
}

/**
 * A replica replies `moved` during a handover, and its host `expired` afterwards. Neither counts as
 * applied; the next send reaches the successor.
 */
function isApplied(reply: OrderReply): boolean {
  return reply.type !== "moved" && reply.type !== "expired";
}

function applyTimeout(state: ClaimantState): ClaimantDecision {
  if (state.phase === "claiming") {
    return startReleasing(state);
  }
  if (state.phase !== "recording" && state.phase !== "releasing") {
    return createDecision(state);
  }
  const answered = answerOutcome(state);
  if (state.sendRounds >= ORDER_LIMITS.maxSends) {
    return { ...answered, state: { ...answered.state, phase: "ended" } };
  }
  const message = state.phase === "recording" ? "record" : "release";
  return {
    state: { ...answered.state, sendRounds: state.sendRounds + 1 },
    effects: [...answered.effects, ...createSends(state, message)],
  };
}

/**
 * Tries the next upstream under the same claim, because no byte of the call was written to the one
 * that refused the connection.
 */
function applyRefusal(state: ClaimantState, time: ClaimantTime): ClaimantDecision {
  if (state.phase !== "dispatching") {
    return createDecision(state);
  }
  const upstreamsLeft = state.upstreamsLeft - 1;
  if (upstreamsLeft > 0 && !time.isLate) {
    return { state: { ...state, upstreamsLeft }, effects: [{ type: "dispatch" }] };
  }
  const detail = "no upstream accepted a connection";
  return startRecording({ ...state, upstreamsLeft }, { type: "notRun", detail });
}

function startRecording(state: ClaimantState, outcome: OrderOutcome): ClaimantDecision {
  const next = { ...state, phase: "recording", outcome, sendRounds: 1 } as const;
  return { state: next, effects: createSends(next, "record") };
}

function startReleasing(state: ClaimantState): ClaimantDecision {
  const next = { ...state, phase: "releasing", sendRounds: 1, isAnswered: true } as const;
  const answer = decideAnswerWithoutMajority(state.replies, state.majority);
  return { state: next, effects: [{ type: "answer", answer }, ...createSends(next, "release")] };
}

function answerOutcome(state: ClaimantState): ClaimantDecision {
  if (state.isAnswered || state.outcome === undefined) {
    return createDecision(state);
  }
  const answer = { type: "outcome", outcome: state.outcome, isReplay: false } as const;
  return { state: { ...state, isAnswered: true }, effects: [{ type: "answer", answer }] };
}

function createSends(
  state: ClaimantState,
  message: "claim" | "release" | "record",
): ClaimantEffect[] {
  return state.acknowledged.flatMap((isAcknowledged, replica): ClaimantEffect[] => {
    if (isAcknowledged) {
      return [];
    }
    const { outcome } = state;
    return [
      outcome === undefined || message !== "record"
        ? { type: "send", message, replica }
        : { type: "send", message, replica, outcome },
    ];
  });
}

function createDecision(state: ClaimantState): ClaimantDecision {
  return { state, effects: [] };
}
