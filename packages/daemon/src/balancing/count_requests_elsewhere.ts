import { BALANCING_LIMITS } from "./constants.ts";
import type { UpstreamCandidate } from "./upstream_candidate.ts";
import type { UpstreamLoad } from "./upstream_load.ts";

/**
 * Estimates how many requests other hosts place on plain upstreams that their reports do not contain
 * yet. In a large fleet regular reports are older than most of these requests take: those reported
 * have ended, and as many others are in flight. They count several times, so that a difference in
 * old reports is corrected in part only; a full correction by all hosts reverses it. In a small fleet
 * it is 0.
 */
export function countRequestsElsewhere(
  hosts: number,
  candidates: readonly UpstreamCandidate[],
  localLoads: ReadonlyMap<string, UpstreamLoad>,
): number {
  if (hosts <= BALANCING_LIMITS.maxFreshHosts) {
    return 0;
  }
  const elsewhere = candidates.reduce(
    (sum, { upstream, load }) =>
      sum + load.inFlight - (localLoads.get(upstream.record.id)?.inFlight ?? 0),
    0,
  );
  // A faulty report may hold negative loads, which must not leave all upstreams without a share.
  return Math.max(0, elsewhere) * BALANCING_LIMITS.staleRequestFactor;
}
