import { computePermitWait } from "./compute_permit_wait.ts";
import { PERMIT_LIMITS } from "./constants.ts";
import type { PermitState } from "./permit_state.ts";

/** Fraction whose multiples spread evenly over an interval. */
const GOLDEN_FRACTION = 0.618_033_988_75;

/**
 * Computes after how many milliseconds a refused caller may return: when a permit will have become
 * free behind the waiting requests and behind the callers refused before, who each get a time of
 * their own. When these times reach too far, they start again from the next free permit.
 */
export function computeReturnDelay(state: PermitState, nowMs: number): number {
  const intervalMs = 1_000 / state.perSecond;
  const firstMs = nowMs + computePermitWait(state, state.waiting.size, nowMs);
  const spreadMs = Math.max(
    PERMIT_LIMITS.returnSpreadMs,
    intervalMs * PERMIT_LIMITS.returnSpreadIntervals,
  );
  const isInSpread = state.nextReturnAtMs >= firstMs && state.nextReturnAtMs <= firstMs + spreadMs;
  const slotMs = isInSpread ? state.nextReturnAtMs : firstMs;
  state.nextReturnAtMs = slotMs + intervalMs;
  state.refusals++;
  const jitterMs = intervalMs * (state.refusals * GOLDEN_FRACTION % 1);
  return Math.ceil(slotMs + jitterMs - nowMs);
}
