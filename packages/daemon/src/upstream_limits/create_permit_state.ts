import type { PermitState } from "./permit_state.ts";

/**
 * Creates the permits of an upstream at a new owner. It has none at first, because the former owner
 * may have granted one a moment ago.
 */
export function createPermitState(perSecond: number, startMs: number): PermitState {
  return {
    perSecond,
    permits: 0,
    updatedAtMs: startMs,
    waiting: new Map(),
    nextReturnAtMs: Number.NEGATIVE_INFINITY,
    refusals: 0,
  };
}
