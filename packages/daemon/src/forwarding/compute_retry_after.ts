import type { RandomSource } from "@crocussail/protocol";
import { FORWARDING_LIMITS } from "./constants.ts";

/** Computes when a refused caller may come back, spread so that callers do not return together. */
export function computeRetryAfter(random: RandomSource): number {
  return Math.round(
    FORWARDING_LIMITS.retryAfterMs + random.nextFloat() * FORWARDING_LIMITS.retrySpreadMs,
  );
}
