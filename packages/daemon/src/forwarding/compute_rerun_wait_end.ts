import { RETRY_LIMITS } from "../retries/mod.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import type { ForwardedRequest } from "./forwarded_request.ts";

/** Options of {@link computeRerunWaitEnd}. */
export interface RerunWait
  extends Pick<ForwardedRequest, "route" | "arrivedAtMs" | "deadlineAtMs"> {
  /** Monotonic time of the last event sent to the caller; undefined before the first. */
  readonly lastSentAtMs: number | undefined;
}

/**
 * Computes the time until which a generation that is run again waits for room. It is bounded by the
 * gap after which the caller abandons the stream, of which the new engine needs a part.
 */
export function computeRerunWaitEnd(
  { route, arrivedAtMs, deadlineAtMs, lastSentAtMs }: RerunWait,
): number {
  const patienceMs = Math.max(
    FORWARDING_LIMITS.callerPatienceMs,
    route.targetMs * FORWARDING_LIMITS.callerPatienceTargetFactor,
  );
  return Math.min(
    (lastSentAtMs ?? arrivedAtMs) + patienceMs * FORWARDING_LIMITS.rerunWaitShare,
    deadlineAtMs - RETRY_LIMITS.minLeftMs,
  );
}
