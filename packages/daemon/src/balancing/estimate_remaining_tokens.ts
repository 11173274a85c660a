import { BALANCING_LIMITS } from "./constants.ts";
import type { InFlightRequest } from "./in_flight_request.ts";

/** Estimates the remaining tokens of a generation from its length hint and its produced tokens. */
export function estimateRemainingTokens(
  inFlight: Pick<InFlightRequest, "producedTokens" | "expectedTokens" | "maxOutputTokens">,
): number {
  const { producedTokens, expectedTokens, maxOutputTokens } = inFlight;
  const overrun = producedTokens * BALANCING_LIMITS.overrunShare;
  const remaining = Math.max(expectedTokens - producedTokens, overrun);
  return Math.max(0, Math.min(remaining, maxOutputTokens - producedTokens));
}
