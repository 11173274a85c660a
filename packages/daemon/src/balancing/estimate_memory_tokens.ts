import { BALANCING_LIMITS } from "./constants.ts";
import { estimateRemainingTokens } from "./estimate_remaining_tokens.ts";
import type { InFlightRequest } from "./in_flight_request.ts";

/** Estimates the KV cache that a generation will occupy, in tokens. */
export function estimateMemoryTokens(
  inFlight: Pick<
    InFlightRequest,
    "promptTokens" | "producedTokens" | "expectedTokens" | "maxOutputTokens"
  >,
): number {
  const remaining = estimateRemainingTokens(inFlight) * BALANCING_LIMITS.plannedRemainingShare;
  return inFlight.promptTokens + inFlight.producedTokens + Math.ceil(remaining);
}
