import { FORWARDING_LIMITS } from "./constants.ts";
import type { ForwardedRequest } from "./forwarded_request.ts";

/** Computes the longest time that a request waits for an upstream, from its arrival. */
export function computeMaxWait(
  { route, arrivedAtMs, deadlineAtMs }: Pick<
    ForwardedRequest,
    "route" | "arrivedAtMs" | "deadlineAtMs"
  >,
): number {
  return Math.min(
    route.targetMs * FORWARDING_LIMITS.maxWaitTargetFactor,
    (deadlineAtMs - arrivedAtMs) * FORWARDING_LIMITS.maxWaitTimeoutShare,
  );
}
