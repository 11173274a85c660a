import { BALANCING_LIMITS } from "./constants.ts";
import { estimateRemainingTokens } from "./estimate_remaining_tokens.ts";
import type { InFlightRequest } from "./in_flight_request.ts";

/** Estimates the KV cache that a generation will occupy, in tokens. */
export function estimateMemoryTokens(
  flight: Pick<
    InFlightRequest,
    "promptTokens" | "producedTokens" | "expectedTokens" | "maxOutputTokens"
  >,
): number {
  const remaining = estimateRemainingTokens(flight) * BALANCING_LIMITS.plannedRemainingShare;
  return flight.promptTokens + flight.producedTokens + Math.ceil(remaining);
}
