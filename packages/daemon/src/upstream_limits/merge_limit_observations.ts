import type { LimitObservation } from "./limit_observation.ts";

/**
 * Merges what two responses of one incarnation say of its limit. The one that was certainly written
 * later counts; responses that may have overtaken each other count as the stricter one, so a limit
 * rises or ends only by the response to a request that was sent after it was known.
 */
export function mergeLimitObservations(
  known: LimitObservation,
  next: LimitObservation,
): LimitObservation {
  if (next.sentAtMs >= known.receivedAtMs) {
    return next;
  }
  if (known.sentAtMs >= next.receivedAtMs) {
    return known;
  }
  const knownLimit = known.perSecond ?? Number.POSITIVE_INFINITY;
  const nextLimit = next.perSecond ?? Number.POSITIVE_INFINITY;
  if (knownLimit !== nextLimit) {
    return nextLimit < knownLimit ? next : known;
  }
  return {
    perSecond: known.perSecond,
    sentAtMs: Math.max(known.sentAtMs, next.sentAtMs),
    receivedAtMs: Math.max(known.receivedAtMs, next.receivedAtMs),
  };
}
