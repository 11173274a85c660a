import { PEER_LIMITS } from "./constants.ts";
import type { DialFailures } from "./dial_failures.ts";

/** Decides when a host may be dialed again: exponential backoff with a maximum and jitter. */
export function decideDialBackoff(
  previous: DialFailures | undefined,
  nowMs: number,
  random: number,
): DialFailures {
  const count = (previous?.count ?? 0) + 1;
  const waitMs = PEER_LIMITS.minBackoffMs * 2 ** Math.min(count - 1, PEER_LIMITS.maxDoublings);
  const jitteredMs = waitMs * (0.5 + random / 2);
  return { count, retryAtMs: nowMs + jitteredMs };
}
