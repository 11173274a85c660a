import { MEMBERSHIP_LIMITS } from "./constants.ts";
import { MEMBER_STATUS } from "./member_status.ts";
import type { MemberStatus } from "./member_status.ts";
import type { MemberUpdate } from "./member_update.ts";
import type { Member, MembershipState } from "./membership_state.ts";
import { enqueueUpdate } from "./enqueue_update.ts";
import { suspectMember } from "./suspect_member.ts";

/**
 * Merges a peer's record of a member; unknown hosts are ignored. The record with the higher counter
 * wins, then the higher incarnation, then the higher status. If a peer reports a member as dead that
 * this daemon considers alive, the member is only suspected. Otherwise, after a partition, the members
 * that one side considers dead would be removed from the view of the other side.
 */
export function mergeMember(state: MembershipState, update: MemberUpdate, nowMs: number): void {
  if (update.id === state.id) {
    handleLocalUpdate(state, update, nowMs);
    return;
  }
  const member = state.members.get(state.hostsById.get(update.id) ?? "");
  if (member === undefined || compareUpdates(update, member) <= 0) {
    return;
  }
  const isNewVersion = update.counter !== member.counter ||
    update.incarnation !== member.incarnation;
  const isFailureReport = update.status === MEMBER_STATUS.suspect ||
    update.status === MEMBER_STATUS.dead;
  if (isFailureReport && member.status < MEMBER_STATUS.suspect) {
    member.counter = update.counter;
    member.incarnation = update.incarnation;
    member.isSuspectedByPeers =
      nowMs - member.lastHeartbeatMs <= MEMBERSHIP_LIMITS.recentHeartbeatMs;
    if (!member.isSuspectedByPeers) {
      suspectMember(state, member, nowMs);
    }
    state.mustRecomputeDigest ||= isNewVersion;
    return;
  }
  if (isFailureReport && member.status >= MEMBER_STATUS.dead) {
    member.counter = update.counter;
    member.incarnation = update.incarnation;
    state.mustRecomputeDigest = true;
    return;
  }
  Object.assign(member, { incarnation: update.incarnation, counter: update.counter });
  member.isSuspectedByPeers = false;
  member.suspicionEndsAtMs = nowMs + MEMBERSHIP_LIMITS.suspicionMs;
  setStatus(state, member, update.status, nowMs);
}

function setStatus(
  state: MembershipState,
  member: Member,
  status: MemberStatus,
  nowMs: number,
): void {
  member.changedAtMs = member.status === status ? member.changedAtMs : nowMs;
  const wasDown = member.status >= MEMBER_STATUS.dead;
  const isUrgent = member.status !== status || status === MEMBER_STATUS.suspect;
  state.mustRecomputeNeighbours ||= wasDown !== status >= MEMBER_STATUS.dead;
  member.status = status;
  state.mustRecomputeDigest = true;
  enqueueUpdate(state, member.host, isUrgent);
}

function handleLocalUpdate(state: MembershipState, update: MemberUpdate, nowMs: number): void {
  const local = { incarnation: state.incarnation, counter: state.counter, status: state.status };
  if (compareUpdates(update, local) <= 0) {
    return;
  }
  const isOtherProcess = update.incarnation !== state.incarnation && update.counter > 0;
  const isJoining = nowMs - state.startedAtMs <= MEMBERSHIP_LIMITS.joinGraceMs;
  if (isOtherProcess && !isJoining && update.counter > state.counter) {
    state.isSuperseded = true;
    return;
  }
  state.counter = update.counter + 1;
  state.wantsRefute = true;
  state.mustRecomputeDigest = true;
  enqueueUpdate(state, state.host, true);
}

type RecordOrder = Pick<MemberUpdate, "incarnation" | "counter" | "status">;

function compareUpdates(left: RecordOrder, right: RecordOrder): number {
  return left.counter - right.counter ||
    left.incarnation - right.incarnation ||
    left.status - right.status;
}
