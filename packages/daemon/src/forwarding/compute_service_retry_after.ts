import { findShortestPause } from "../upstreams/mod.ts";
import { computeRetryAfter } from "./compute_retry_after.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import type { ForwardingContext } from "./forwarding_context.ts";

/**
 * Computes the delay in milliseconds before a refused caller may retry: until the first upstream of
 * the service ends its pause if all of them pause, with jitter.
 */
export function computeServiceRetryAfter(
  context: Pick<ForwardingContext, "upstreams" | "clock" | "random">,
  service: string,
): number {
  const nowMs = context.clock.readMonotonicMs();
  const pauseMs = findShortestPause(context.upstreams, service, nowMs);
  return pauseMs === undefined
    ? computeRetryAfter(context.random)
    : Math.ceil(pauseMs + context.random.nextFloat() * FORWARDING_LIMITS.pauseRetrySpreadMs);
}
