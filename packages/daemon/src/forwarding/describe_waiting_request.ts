import { estimateMemoryTokens } from "../balancing/mod.ts";
import type { WaitQueueEntry } from "../waiting/mod.ts";
import { computeMaxWait } from "./compute_max_wait.ts";
import type { ForwardedRequest } from "./forwarded_request.ts";

/** Describes a generation by what its place among the waiting ones depends on. */
export function describeWaitingRequest(
  request: ForwardedRequest,
): Omit<WaitQueueEntry, "isWaiting" | "tryPlace" | "expire" | "refuse"> {
  const { promptTokens, maxOutputTokens, expectedTokens } = request.head;
  const size = { promptTokens, maxOutputTokens, expectedTokens, producedTokens: 0 };
  return {
    requestId: request.requestId,
    service: request.service.name,
    priority: request.priority,
    account: request.team ?? "none",
    kind: request.route.name,
    arrivedAtMs: request.arrivedAtMs,
    targetAtMs: request.arrivedAtMs + request.route.targetMs,
    expiresAtMs: request.arrivedAtMs + computeMaxWait(request),
    promptTokens,
    memoryTokens: estimateMemoryTokens(size),
  };
}
