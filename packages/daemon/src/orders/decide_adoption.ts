/** Successor's state of the handover of one duty. */
export interface AdoptionState {
  /** `closed`: dropped or refused; the duty is never adopted from then on. */
  readonly phase: "none" | "staging" | "adopted" | "closed";
  /** Transfer whose records are being copied. */
  readonly transfer: string;
  /** Number of frames received; each counts once and in order. */
  readonly frames: number;
}

/** Message from a draining replica to its successor. */
export type AdoptionMessage =
  | { readonly type: "stage"; readonly transfer: string; readonly frame: number }
  | { readonly type: "commit"; readonly transfer: string; readonly frames: number };

/** Reply of a successor. */
export type AdoptionReply = "staged" | "stageFailed" | "adopted" | "refused";

/** Result of {@link decideAdoption}. */
export interface AdoptionDecision {
  readonly state: AdoptionState;
  readonly reply: AdoptionReply;
  /** True when the records of the frame must be stored. */
  readonly isFrameNew: boolean;
}

/** Decides whether a successor adopts a duty: only with all records, and only once. */
export function decideAdoption(state: AdoptionState, message: AdoptionMessage): AdoptionDecision {
  return message.type === "stage" ? applyStage(state, message) : applyCommit(state, message);
}

function applyStage(
  state: AdoptionState,
  message: Extract<AdoptionMessage, { type: "stage" }>,
): AdoptionDecision {
  const { transfer, frame } = message;
  if (state.phase === "none" && frame === 0) {
    return { state: { phase: "staging", transfer, frames: 1 }, reply: "staged", isFrameNew: true };
  }
  const isCurrentTransfer = state.phase === "staging" && state.transfer === transfer;
  if (!isCurrentTransfer || frame > state.frames) {
    return { state, reply: "stageFailed", isFrameNew: false };
  }
  const isFrameNew = frame === state.frames;
  const frames = isFrameNew ? state.frames + 1 : state.frames;
  return { state: { ...state, frames }, reply: "staged", isFrameNew };
}

function applyCommit(
  state: AdoptionState,
  message: Extract<AdoptionMessage, { type: "commit" }>,
): AdoptionDecision {
  const isSame = state.transfer === message.transfer;
  if (state.phase === "adopted" && isSame) {
    return { state, reply: "adopted", isFrameNew: false };
  }
  if (state.phase !== "staging" || !isSame || state.frames !== message.frames) {
    // A refusal is final: a late frame of this transfer must not complete the copy afterwards.
    const closed = state.phase === "adopted" ? state : { ...state, phase: "closed" as const };
    return { state: closed, reply: "refused", isFrameNew: false };
  }
  return { state: { ...state, phase: "adopted" }, reply: "adopted", isFrameNew: false };
}
