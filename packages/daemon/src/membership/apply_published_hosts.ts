import { MEMBERSHIP_LIMITS } from "./constants.ts";
import { hashHost } from "./hash_host.ts";
import { MEMBER_STATUS } from "./member_status.ts";
import type { MembershipState } from "./membership_state.ts";

/**
 * Applies the platform's list of hosts. A new host is considered alive until a probe fails, and a
 * host that is no longer listed is removed. An empty list removes all members, but does not count
 * as published, because it means that the settings service has not responded yet.
 */
export function applyPublishedHosts(
  state: MembershipState,
  hosts: Iterable<string>,
  nowMs: number,
): void {
  const published = [...hosts];
  state.hasPublishedList ||= published.length > 0;
  const listed = published.filter((host) => host !== state.host).sort();
  const listedUpToLimit = new Set(listed.slice(0, MEMBERSHIP_LIMITS.maxMembers));
  for (const [host, member] of state.members) {
    if (!listedUpToLimit.has(host)) {
      state.members.delete(host);
      state.hostsById.delete(member.id);
      state.updates.delete(host);
      state.probes.delete(host);
      Object.assign(state, { mustRecomputeDigest: true, mustRecomputeNeighbours: true });
    }
  }
  for (const host of listedUpToLimit) {
    if (!state.members.has(host)) {
      addMember(state, host, nowMs);
    }
  }
}

function addMember(state: MembershipState, host: string, nowMs: number): void {
  const id = hashHost(host);
  state.hostsById.set(id, host);
  state.members.set(host, {
    host,
    id,
    incarnation: 0,
    counter: 0,
    status: MEMBER_STATUS.alive,
    changedAtMs: nowMs,
    suspicionEndsAtMs: 0,
    lastHeartbeatMs: Number.NEGATIVE_INFINITY,
    isSuspectedByPeers: false,
    lastDigest: 0,
    isIndirect: false,
  });
  Object.assign(state, { mustRecomputeDigest: true, mustRecomputeNeighbours: true });
}
