import { BALANCING_LIMITS } from "./constants.ts";
import { estimateRestTokens } from "./estimate_rest_tokens.ts";
import type { Flight } from "./flight.ts";

/** Estimates the KV cache that a generation will occupy, in tokens. */
export function estimateFlightTokens(
  flight: Pick<Flight, "promptTokens" | "producedTokens" | "expectedTokens" | "maxOutputTokens">,
): number {
  const remaining = estimateRestTokens(flight) * BALANCING_LIMITS.plannedRemainingShare;
  return flight.promptTokens + flight.producedTokens + Math.ceil(remaining);
}
