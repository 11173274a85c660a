import { MEMBERSHIP_LIMITS } from "./constants.ts";
import { MEMBER_STATUS } from "./member_status.ts";
import type { Member, MembershipState } from "./membership_state.ts";
import { enqueueUpdate } from "./enqueue_update.ts";

/** Marks a member as suspected, unless it already is or is considered dead. */
export function suspectMember(state: MembershipState, member: Member, nowMs: number): void {
  if (member.status >= MEMBER_STATUS.suspect) {
    return;
  }
  member.status = MEMBER_STATUS.suspect;
  member.changedAtMs = nowMs;
  member.suspicionEndsAtMs = nowMs + MEMBERSHIP_LIMITS.suspicionMs;
  state.mustRecomputeDigest = true;
  enqueueUpdate(state, member.host, true);
}
