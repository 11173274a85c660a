import { MEMBERSHIP_LIMITS } from "./constants.ts";
import type { Heartbeat } from "./heartbeat.ts";
import type { MembershipState } from "./membership_state.ts";

/** Counts a whole view that arrived towards the trust in the own view; call after merging it. */
export function applySyncReply(state: MembershipState, from: string, beat: Heartbeat): void {
  if (beat.isWoken || state.freshness.isFresh) {
    return;
  }
  state.freshness.replies.add(from);
  const wanted = Math.min(MEMBERSHIP_LIMITS.freshReplies, state.members.size);
  if (state.freshness.replies.size >= wanted) {
    Object.assign(state.freshness, { isFresh: true, isWoken: false });
  }
}
