import { BALANCING_LIMITS } from "./constants.ts";
import type { Flight } from "./flight.ts";

/** Estimates the remaining tokens of a generation from its length hint and its produced tokens. */
export function estimateRestTokens(
  flight: Pick<Flight, "producedTokens" | "expectedTokens" | "maxOutputTokens">,
): number {
  const { producedTokens, expectedTokens, maxOutputTokens } = flight;
  const overrun = producedTokens * BALANCING_LIMITS.overrunShare;
  const remaining = Math.max(expectedTokens - producedTokens, overrun);
  return Math.max(0, Math.min(remaining, maxOutputTokens - producedTokens));
}
