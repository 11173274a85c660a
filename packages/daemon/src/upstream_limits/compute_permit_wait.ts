import type { PermitState } from "./permit_state.ts";

/** Computes the time in milliseconds until the permit for the request at `place`, 0 for the first; infinite at a rate of 0. */
export function computePermitWait(
  { permits, perSecond, updatedAtMs }: Pick<PermitState, "permits" | "perSecond" | "updatedAtMs">,
  place: number,
  nowMs: number,
): number {
  const missing = Math.max(0, place + 1 - permits);
  const missingMs = missing === 0 ? 0 : missing * 1_000 / perSecond;
  return Math.max(0, updatedAtMs - nowMs) + missingMs;
}
