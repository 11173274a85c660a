import type { RandomSource } from "@crocussail/protocol";
import { BALANCING_LIMITS } from "./constants.ts";
import type { UpstreamCandidate } from "./upstream_candidate.ts";

/**
 * Chooses the upstream of a plain service with the fewest in-flight requests per slot; failures
 * raise the cost. Ties are broken at random, so that hosts with the same view select different
 * upstreams. Undefined without candidates.
 */
export function chooseServiceUpstream(
  candidates: readonly UpstreamCandidate[],
  random: RandomSource,
): UpstreamCandidate | undefined {
  let best: UpstreamCandidate | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  let tieCount = 0;
  for (const candidate of candidates) {
    const { load, conduct, upstream } = candidate;
    const cost = ((load.inFlight + 1) / Math.max(1, upstream.record.slots)) *
      (1 + BALANCING_LIMITS.failureCost * conduct.failureShare);
    if (cost > bestCost) {
      continue;
    }
    tieCount = cost < bestCost ? 1 : tieCount + 1;
    if (random.nextInteger(tieCount) === 0) {
      best = candidate;
    }
    bestCost = cost;
  }
  return best;
}
