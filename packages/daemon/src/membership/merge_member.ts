import { MEMBERSHIP_LIMITS } from "./constants.ts";
import { MEMBER_STATUS } from "./member_status.ts";
import type { MemberStatus } from "./member_status.ts";
import type { MemberUpdate } from "./member_update.ts";
import type { Member, MembershipState } from "./membership_state.ts";
import { enqueueUpdate } from "./enqueue_update.ts";
import { suspectMember } from "./suspect_member.ts";

/**
 * Merges what a peer says of a member; unknown hosts are ignored. The record with the higher
 * counter wins, then the higher incarnation, then the higher state. A death heard of a member that
 * this daemon believes alive starts a suspicion, so that after a partition one side's deaths do not
 * empty the other side's view.
 */
export function mergeMember(state: MembershipState, update: MemberUpdate, nowMs: number): void {
  if (update.id === state.id) {
    handleOwnUpdate(state, update, nowMs);
    return;
  }
  const member = state.members.get(state.hostsById.get(update.id) ?? "");
  if (member === undefined || compareUpdates(update, member) <= 0) {
    return;
  }
  const isNewLife = update.counter !== member.counter || update.incarnation !== member.incarnation;
  const isDoubt = update.status === MEMBER_STATUS.suspect || update.status === MEMBER_STATUS.dead;
  if (isDoubt && member.status < MEMBER_STATUS.suspect) {
    member.counter = update.counter;
    member.incarnation = update.incarnation;
    member.isDoubted = nowMs - member.heardAtMs <= MEMBERSHIP_LIMITS.heardRecentlyMs;
    if (!member.isDoubted) {
      suspectMember(state, member, nowMs);
    }
    state.isDirty ||= isNewLife;
    return;
  }
  if (isDoubt && member.status >= MEMBER_STATUS.dead) {
    member.counter = update.counter;
    member.incarnation = update.incarnation;
    state.isDirty = true;
    return;
  }
  Object.assign(member, { incarnation: update.incarnation, counter: update.counter });
  member.isDoubted = false;
  member.suspicionEndsMs = nowMs + MEMBERSHIP_LIMITS.suspicionMs;
  setStatus(state, member, update.status, nowMs);
}

function setStatus(
  state: MembershipState,
  member: Member,
  status: MemberStatus,
  nowMs: number,
): void {
  member.changedAtMs = member.status === status ? member.changedAtMs : nowMs;
  const wasGone = member.status >= MEMBER_STATUS.dead;
  const isUrgent = member.status !== status || status === MEMBER_STATUS.suspect;
  state.isRingDirty ||= wasGone !== status >= MEMBER_STATUS.dead;
  member.status = status;
  state.isDirty = true;
  enqueueUpdate(state, member.host, isUrgent);
}

function handleOwnUpdate(state: MembershipState, update: MemberUpdate, nowMs: number): void {
  const own = { incarnation: state.incarnation, counter: state.counter, status: state.status };
  if (compareUpdates(update, own) <= 0) {
    return;
  }
  const isForeign = update.incarnation !== state.incarnation && update.counter > 0;
  const isJoining = nowMs - state.startedAtMs <= MEMBERSHIP_LIMITS.joinGraceMs;
  if (isForeign && !isJoining && update.counter > state.counter) {
    state.isSuperseded = true;
    return;
  }
  state.counter = update.counter + 1;
  state.wantsRefute = true;
  state.isDirty = true;
  enqueueUpdate(state, state.host, true);
}

type RecordOrder = Pick<MemberUpdate, "incarnation" | "counter" | "status">;

function compareUpdates(left: RecordOrder, right: RecordOrder): number {
  return left.counter - right.counter ||
    left.incarnation - right.incarnation ||
    left.status - right.status;
}
