import { MEMBERSHIP_LIMITS } from "./constants.ts";
import type { MembershipEffect } from "./membership_effect.ts";
import type { MembershipState } from "./membership_state.ts";

/**
 * Records the current time; call it before any decision. After a pause of this process the view is
 * not trusted, in-flight probes are dropped and suspicions are extended by the pause, because this
 * process couldn't receive any replies or refutations during it.
 */
export function observeTime(state: MembershipState, nowMs: number): MembershipEffect[] {
  const gapMs = nowMs - state.lastObservedMs;
  state.lastObservedMs = Math.max(nowMs, state.lastObservedMs);
  if (gapMs <= MEMBERSHIP_LIMITS.pauseThresholdMs) {
    return [];
  }
  state.probes.clear();
  for (const member of state.members.values()) {
    member.suspicionEndsAtMs += gapMs;
  }
  state.wantsSync = true;
  state.lastSyncMs = Number.NEGATIVE_INFINITY;
  state.lastMatchMs = nowMs;
  state.freshness.replies.clear();
  Object.assign(state.freshness, { isFresh: false, isAfterPause: true, sinceMs: nowMs });
  return [{ type: "event", event: "processPaused", fields: { pausedMs: Math.round(gapMs) } }];
}
