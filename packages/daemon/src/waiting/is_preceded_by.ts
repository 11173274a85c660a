import { WAITING_LIMITS } from "./constants.ts";
import type { WaitingHead } from "./waiting_head.ts";
import type { WaitingRequest } from "./waiting_request.ts";

/**
 * Whether another host's request precedes a request of this host: it is more urgent, or equally
 * urgent and has clearly waited longer. One that is as urgent but past its target does not precede
 * a request that can still be in time.
 */
export function isPrecededBy(
  request: Pick<WaitingRequest, "priority" | "arrivedAtMs" | "targetAtMs">,
  isLate: boolean,
  head: Pick<WaitingHead, "priority" | "arrivedAtMs">,
  nowMs: number,
): boolean {
  if (head.priority !== request.priority) {
    return head.priority < request.priority;
  }
  const targetMs = request.targetAtMs - request.arrivedAtMs;
  const isHeadLate = nowMs - head.arrivedAtMs > targetMs;
  if (isHeadLate !== isLate) {
    return isLate;
  }
  return request.arrivedAtMs - head.arrivedAtMs > WAITING_LIMITS.clearlyLongerMs;
}
