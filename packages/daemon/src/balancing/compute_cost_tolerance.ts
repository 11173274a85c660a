import { BALANCING_LIMITS } from "./constants.ts";

/** Computes the share by which an engine's cost may exceed the minimum, in a fleet of `hosts`. */
export function computeCostTolerance(hosts: number): number {
  const {
    maxCostTolerance,
    zeroToleranceHosts,
    maxToleranceHosts,
  } = BALANCING_LIMITS;
  const growth = (hosts - zeroToleranceHosts) / (maxToleranceHosts - zeroToleranceHosts);
  return maxCostTolerance * Math.min(1, Math.max(0, growth));
}
