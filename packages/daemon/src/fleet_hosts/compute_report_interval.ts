import { HOST_LIMITS } from "./constants.ts";

/** Computes the interval of regular reports in a fleet of `hosts` hosts, in milliseconds. */
export function computeReportInterval(hosts: number): number {
  if (hosts - 1 <= HOST_LIMITS.maxMeshHosts) {
    return HOST_LIMITS.reportIntervalMs;
  }
  const minIntervalMs = hosts * 1_000 / HOST_LIMITS.regularReportsPerSecond;
  return Math.max(HOST_LIMITS.relayedIntervalMs, Math.round(minIntervalMs));
}
