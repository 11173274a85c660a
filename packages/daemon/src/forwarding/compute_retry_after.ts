import type { RandomSource } from "@crocussail/protocol";
import { FORWARDING_LIMITS } from "./constants.ts";

/** Computes the delay before a refused caller may retry, with jitter so that callers spread out. */
export function computeRetryAfter(random: RandomSource): number {
  return Math.round(
    FORWARDING_LIMITS.retryAfterMs + random.nextFloat() * FORWARDING_LIMITS.retrySpreadMs,
  );
}
