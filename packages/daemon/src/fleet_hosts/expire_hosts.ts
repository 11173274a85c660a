import { HOST_LIMITS } from "./constants.ts";
import type { HostState } from "./host_state.ts";

/**
 * Removes hosts without a report for `removeAfterMs`, and addresses first seen that long ago that
 * belong to no known host and are not among the given seeds.
 */
export function expireHosts(state: HostState, seeds: ReadonlySet<string>, nowMs: number): void {
  for (const [host, { lastReportMs }] of state.hosts) {
    if (nowMs - lastReportMs > HOST_LIMITS.removeAfterMs) {
      state.hosts.delete(host);
    }
  }
  const knownAddresses = new Set([...state.hosts.values()].map(({ report }) => report.peerAddress));
  for (const [address, firstSeenAtMs] of state.addresses) {
    const isOld = nowMs - firstSeenAtMs > HOST_LIMITS.removeAfterMs;
    if (isOld && !knownAddresses.has(address) && !seeds.has(address)) {
      state.addresses.delete(address);
    }
  }
}
