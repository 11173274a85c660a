import { MEMBERSHIP_LIMITS } from "./constants.ts";
import type { MembershipEffect } from "./membership_effect.ts";
import type { MembershipState } from "./membership_state.ts";

/**
 * Notes the present time before any decision. After a pause the view is distrusted, probes under way
 * are forgotten and suspicions run on, since the silence was this process's own.
 */
export function observeTime(state: MembershipState, nowMs: number): MembershipEffect[] {
  const gapMs = nowMs - state.lastSeenMs;
  state.lastSeenMs = Math.max(nowMs, state.lastSeenMs);
  if (gapMs <= MEMBERSHIP_LIMITS.pauseMs) {
    return [];
  }
  state.probes.clear();
  for (const member of state.members.values()) {
    member.suspicionEndsMs += gapMs;
  }
  state.wantsSync = true;
  state.lastSyncMs = Number.NEGATIVE_INFINITY;
  state.lastMatchMs = nowMs;
  state.freshness.replies.clear();
  Object.assign(state.freshness, { isFresh: false, isWoken: true, sinceMs: nowMs });
  return [{ type: "event", event: "processPaused", fields: { pausedMs: Math.round(gapMs) } }];
}
