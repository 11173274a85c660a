import type { Upstream } from "./upstream_state.ts";

/**
 * Returns the monotonic time until which an upstream is cold, in the past if it is not: it counts as
 * cold for `coldStartMs` after this host first saw its start, and for as long as it has said.
 */
export function getColdUntil(
  upstream: Pick<Upstream, "coldUntilMs" | "startSeenMs">,
  coldStartMs: number,
): number {
  return Math.max(upstream.coldUntilMs, upstream.startSeenMs + coldStartMs);
}
