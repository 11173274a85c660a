import { buildHeartbeatHead } from "./build_heartbeat_head.ts";
import { buildMemberUpdate } from "./build_member_update.ts";
import { MEMBERSHIP_LIMITS } from "./constants.ts";
import type { Heartbeat } from "./heartbeat.ts";
import { MEMBER_STATUS } from "./member_status.ts";
import type { MemberUpdate } from "./member_update.ts";
import type { MembershipState } from "./membership_state.ts";
import { selectNotices } from "./select_notices.ts";

/**
 * Creates the next heartbeat for `to`. If the receiver is suspected, the heartbeat always contains
 * that suspicion, so that the receiver can refute it. A peer whose last digest equals this daemon's
 * digest is sent only suspicions, because the digest does not cover them.
 */
export function createHeartbeat(state: MembershipState, to: string, nowMs: number): Heartbeat {
  const receiver = state.members.get(to);
  const head = buildHeartbeatHead(state);
  const hasEqualDigest = receiver?.lastDigest === head.digest;
  const updates = state.updates.size === 0 ? [] : selectUpdates(state, to, hasEqualDigest);
  if (receiver !== undefined && (receiver.status > 0 || receiver.isSuspectedByPeers)) {
    const update = buildMemberUpdate(receiver);
    updates.push(
      receiver.isSuspectedByPeers ? { ...update, status: MEMBER_STATUS.suspect } : update,
    );
  }
  return { ...head, updates, notices: selectNotices(state.notices, nowMs) };
}

/**
 * Selects urgent updates first, then those that have waited longest. Selected updates that have sends
 * left move to the end of the queue.
 */
function selectUpdates(
  state: MembershipState,
  to: string,
  hasEqualDigest: boolean,
): MemberUpdate[] {
  const urgent: string[] = [];
  const others: string[] = [];
  for (const [host, update] of state.updates) {
    const status = state.members.get(host)?.status ?? state.status;
    if (host === to || (hasEqualDigest && status !== MEMBER_STATUS.suspect)) {
      continue;
    }
    (update.isUrgent ? urgent : others).push(host);
  }
  return [...urgent, ...others].slice(0, MEMBERSHIP_LIMITS.maxUpdates).map((host) => {
    countSend(state, host);
    return buildMemberUpdate(state.members.get(host) ?? state);
  });
}

function countSend(state: MembershipState, host: string): void {
  const update = state.updates.get(host);
  state.updates.delete(host);
  if (update !== undefined && update.sendsLeft > 1) {
    update.sendsLeft -= 1;
    state.updates.set(host, update);
  }
}
