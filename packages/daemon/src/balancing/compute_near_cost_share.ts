import { BALANCING_LIMITS } from "./constants.ts";

/** Computes by what share of the least cost an engine may cost more, in a fleet of `hosts`. */
export function computeNearCostShare(hosts: number): number {
  const { nearCostShare, leastCostHosts, nearCostHosts } = BALANCING_LIMITS;
  const growth = (hosts - leastCostHosts) / (nearCostHosts - leastCostHosts);
  return nearCostShare * Math.min(1, Math.max(0, growth));
}
