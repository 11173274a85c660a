import { MEMBERSHIP_LIMITS } from "./constants.ts";
import type { Notice } from "./membership.ts";
import type { NoticeState } from "./notice_state.ts";

/** Selects the notices of the next heartbeat, those forwarded least often first. */
export function selectNotices(state: NoticeState, nowMs: number): Notice[] {
  for (const [id, pending] of state.pending) {
    if (pending.sendsLeft <= 0 || pending.expiresAtMs <= nowMs) {
      state.pending.delete(id);
    }
  }
  if (state.pending.size === 0) {
    return [];
  }
  const waiting = [...state.pending.values()].sort((left, right) =>
    right.sendsLeft - left.sendsLeft
  );
  const selected: Notice[] = [];
  let bytes = 0;
  for (const pending of waiting) {
    if (bytes + pending.bytes <= MEMBERSHIP_LIMITS.maxNoticeBytesPerHeartbeat) {
      bytes += pending.bytes;
      pending.sendsLeft -= 1;
      selected.push({ ...pending.notice, ttlMs: Math.round(pending.expiresAtMs - nowMs) });
    }
  }
  return selected;
}
