/** Share of an engine's memory that admission leaves free. */
export interface HeadroomState {
  readonly share: number;
  /** Time of the last change. */
  readonly changedAtMs: number;
}

/** An event that changes the headroom. */
export type HeadroomEvent =
  | { readonly type: "preempted"; readonly count: number }
  | { readonly type: "gapAboveTarget" }
  | { readonly type: "tick" };

const MIN_SHARE = 0.02;
const MAX_SHARE = 0.4;
const PREEMPTION_STEP = 0.02;
const GAP_STEP = 0.01;
const DECAY_FACTOR = 0.9;
const DECAY_INTERVAL_MS = 10_000;
const MAX_COUNTED_PREEMPTIONS = 3;

/**
 * Adjusts the headroom: preemptions and token gaps above target increase it, and each decay
 * interval without a change reduces it by a tenth.
 */
export function advanceHeadroom(
  state: HeadroomState,
  event: HeadroomEvent,
  nowMs: number,
): HeadroomState {
  if (event.type === "tick") {
    return nowMs - state.changedAtMs < DECAY_INTERVAL_MS
      ? state
      : { share: Math.max(MIN_SHARE, state.share * DECAY_FACTOR), changedAtMs: nowMs };
  }
  const step = event.type === "preempted"
    ? PREEMPTION_STEP * Math.min(event.count, MAX_COUNTED_PREEMPTIONS)
    : GAP_STEP;
  return { share: Math.min(MAX_SHARE, state.share + step), changedAtMs: nowMs };
}
