import { buildHeartbeatHead } from "./build_heartbeat_head.ts";
import { buildMemberUpdate } from "./build_member_update.ts";
import { MEMBERSHIP_LIMITS } from "./constants.ts";
import type { Heartbeat } from "./heartbeat.ts";
import { MEMBER_STATUS } from "./member_status.ts";
import type { MemberUpdate } from "./member_update.ts";
import type { MembershipState } from "./membership_state.ts";
import { selectNotices } from "./select_notices.ts";

/**
 * Creates the next heartbeat for `to`. It always carries a doubt about the receiver, which thereby
 * learns what it has to refute. To a peer whose last digest equals the own one, only suspicions are
 * passed on, since the digest does not cover them.
 */
export function createHeartbeat(state: MembershipState, to: string, nowMs: number): Heartbeat {
  const doubted = state.members.get(to);
  const head = buildHeartbeatHead(state);
  const isEqual = doubted?.lastDigest === head.digest;
  const updates = state.updates.size === 0 ? [] : selectUpdates(state, to, isEqual);
  if (doubted !== undefined && (doubted.status > 0 || doubted.isDoubted)) {
    const update = buildMemberUpdate(doubted);
    updates.push(doubted.isDoubted ? { ...update, status: MEMBER_STATUS.suspect } : update);
  }
  return { ...head, updates, notices: selectNotices(state.notices, nowMs) };
}

/** Takes urgent updates first, then those that have waited longest; queues them again at the end. */
function selectUpdates(state: MembershipState, to: string, isEqual: boolean): MemberUpdate[] {
  const urgent: string[] = [];
  const others: string[] = [];
  for (const [host, update] of state.updates) {
    const status = state.members.get(host)?.status ?? state.status;
    if (host === to || (isEqual && status !== MEMBER_STATUS.suspect)) {
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
