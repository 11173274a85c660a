import { ADMISSION_LIMITS } from "./constants.ts";
import { estimateWaitMs } from "./estimate_wait_ms.ts";
import type { OwnerState } from "./owner_state.ts";

/** Expected waits of a new request at one owner. */
export interface OwnerWaits {
  /** For requests of the urgent classes. */
  readonly urgentMs: number;
  /** For all others. */
  readonly otherMs: number;
}

/** Computes the waits that an owner reports to entry daemons; they are 0 for an empty queue. */
export function computeOwnerWaits(state: OwnerState): OwnerWaits {
  let urgentCount = 0;
  for (const entry of state.queue.values()) {
    urgentCount += entry.urgency <= ADMISSION_LIMITS.urgentClass ? 1 : 0;
  }
  return {
    urgentMs: urgentCount === 0 ? 0 : estimateWaitMs(state, urgentCount),
    otherMs: state.queue.size === 0 ? 0 : estimateWaitMs(state, state.queue.size),
  };
}
