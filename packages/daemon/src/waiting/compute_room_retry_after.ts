import type { RandomSource } from "@crocussail/protocol";
import { WAITING_LIMITS } from "./constants.ts";

/** Computes when a refused caller may return: when room is expected, spread so that not all do. */
export function computeRoomRetryAfter(startMs: number, random: RandomSource): number {
  const { minRetrySpreadMs, retrySpreadShare, maxRetryAfterMs } = WAITING_LIMITS;
  const spreadMs = Math.max(minRetrySpreadMs, startMs * retrySpreadShare);
  return Math.round(Math.min(maxRetryAfterMs, startMs) + random.nextFloat() * spreadMs);
}
