import type { RandomSource } from "@crocussail/protocol";
import { chooseByShare } from "./choose_by_share.ts";
import { computeFillShares } from "./compute_fill_shares.ts";
import { BALANCING_LIMITS } from "./constants.ts";
import type { UpstreamCandidate } from "./upstream_candidate.ts";

/**
 * Chooses the upstream of a plain service with the fewest in-flight requests per slot; failures
 * raise the cost. Ties are broken at random, so that hosts with the same view select different
 * upstreams. If other hosts are expected to place `concurrentChoices` requests that their reports do
 * not contain yet, it is drawn from those that all of these would fill first. Undefined without
 * candidates.
 */
export function chooseServiceUpstream(
  candidates: readonly UpstreamCandidate[],
  random: RandomSource,
  concurrentChoices: number,
): UpstreamCandidate | undefined {
  const fillCandidates = candidates.map(({ load, conduct, upstream }) => {
    const addedCost = (1 + BALANCING_LIMITS.failureCost * conduct.failureShare) /
      Math.max(1, upstream.record.slots);
    return {
      cost: (load.inFlight + 1) * addedCost,
      addedCost,
      room: Number.POSITIVE_INFINITY,
    };
  });
  const minCost = Math.min(...fillCandidates.map(({ cost }) => cost));
  const shares = concurrentChoices === 0
    ? fillCandidates.map(({ cost }) => Number(cost === minCost))
    : computeFillShares(fillCandidates, 1 + concurrentChoices);
  const index = chooseByShare(shares, random);
  return index === undefined ? undefined : candidates[index];
}
