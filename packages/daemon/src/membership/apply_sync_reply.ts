import { MEMBERSHIP_LIMITS } from "./constants.ts";
import type { Heartbeat } from "./heartbeat.ts";
import type { MembershipState } from "./membership_state.ts";

/**
 * Counts a complete view received from a peer; after enough of them this daemon trusts its own view
 * again. Call it after the received view has been merged.
 */
export function applySyncReply(state: MembershipState, from: string, beat: Heartbeat): void {
  if (beat.isAfterPause || state.freshness.isFresh) {
    return;
  }
  state.freshness.replies.add(from);
  const requiredReplies = Math.min(MEMBERSHIP_LIMITS.freshReplies, state.members.size);
  if (state.freshness.replies.size >= requiredReplies) {
    Object.assign(state.freshness, { isFresh: true, isAfterPause: false });
  }
}
