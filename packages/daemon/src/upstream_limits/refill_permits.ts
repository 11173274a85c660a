import { PERMIT_LIMITS } from "./constants.ts";
import type { PermitState } from "./permit_state.ts";

/**
 * Adds the permits that have become due since the last call, at the former rate, and applies a new
 * one. What a paused process has missed is not saved up; for a cold upstream it loses what it kept.
 */
export function refillPermits(
  state: PermitState,
  perSecond: number,
  nowMs: number,
  isCold = false,
): void {
  const elapsedMs = Math.max(0, nowMs - state.updatedAtMs);
  const keptIfCold = perSecond === 0 ? 0 : PERMIT_LIMITS.coldKept;
  const kept = (rate: number) =>
    isCold ? keptIfCold : Math.max(1, rate * PERMIT_LIMITS.keptMs / 1_000);
  const accrued = isCold && elapsedMs > PERMIT_LIMITS.coldGapMs
    ? 0
    : Math.min(kept(state.perSecond), state.permits + elapsedMs * state.perSecond / 1_000);
  state.permits = Math.min(accrued, kept(perSecond));
  state.perSecond = perSecond;
  state.updatedAtMs = Math.max(state.updatedAtMs, nowMs);
}
