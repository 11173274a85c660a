import { ORDER_LIMITS } from "./constants.ts";
import type { HandoverState } from "./handover_state.ts";

/** Input of a handover's state machine on the draining replica. */
export type HandoverEvent =
  | { readonly type: "start"; readonly candidates: readonly string[] }
  /**
   * Reply of a successor. `staged`: all records were copied; `stageFailed`: the copy failed, and no
   * commit was sent; `refused`: the commit was permanently refused.
   */
  | {
    readonly type: "staged" | "stageFailed" | "adopted" | "refused";
    readonly successor: string;
  }
  | { readonly type: "timeout" };

/** Action that the draining replica must take. */
export type HandoverEffect =
  /** Permanently stop granting and storing. */
  | { readonly type: "freeze" }
  | { readonly type: "stage"; readonly successor: string }
  | { readonly type: "commit"; readonly successor: string };

/** Result of {@link decideHandover}. */
export interface HandoverDecision {
  readonly state: HandoverState;
  readonly effects: readonly HandoverEffect[];
}

/**
 * Advances a handover. The duty is frozen before its first record is copied, and stays frozen. Once
 * a commit was sent to a successor, no other host gets one unless that successor has refused it.
 */
export function decideHandover(state: HandoverState, event: HandoverEvent): HandoverDecision {
  if ("successor" in event && event.successor !== state.successor) {
    return createDecision(state);
  }
  switch (event.type) {
    case "start": {
      if (state.phase !== "serving") {
        return createDecision(state);
      }
      const { state: next, effects } = offerNext({ ...state, candidates: event.candidates });
      return { state: next, effects: [{ type: "freeze" }, ...effects] };
    }
    case "staged":
      return state.phase === "staging"
        ? sendCommit({ ...state, commitSends: 0 })
        : createDecision(state);
    case "stageFailed":
      return state.phase === "staging" ? offerNext(state) : createDecision(state);
    case "adopted":
      return state.phase === "committing"
        ? createDecision({ ...state, phase: "ended", isTransferred: true })
        : createDecision(state);
    case "refused":
      return state.phase === "committing" ? offerNext(state) : createDecision(state);
    case "timeout":
      return applyTimeout(state);
  }
}

/** An unacknowledged commit is sent again to the same successor only, up to a limit. */
function applyTimeout(state: HandoverState): HandoverDecision {
  if (state.phase === "staging") {
    return offerNext(state);
  }
  if (state.phase !== "committing") {
    return createDecision(state);
  }
  return state.commitSends < ORDER_LIMITS.maxCommitSends
    ? sendCommit(state)
    : createDecision({ ...state, phase: "ended" });
}

function offerNext(state: HandoverState): HandoverDecision {
  const [successor, ...candidates] = state.candidates;
  if (successor === undefined) {
    return createDecision({ ...state, phase: "ended" });
  }
  return {
    state: { ...state, phase: "staging", successor, candidates },
    effects: [{ type: "stage", successor }],
  };
}

function sendCommit(state: HandoverState): HandoverDecision {
  return {
    state: { ...state, phase: "committing", commitSends: state.commitSends + 1 },
    effects: [{ type: "commit", successor: state.successor }],
  };
}

function createDecision(state: HandoverState): HandoverDecision {
  return { state, effects: [] };
}
