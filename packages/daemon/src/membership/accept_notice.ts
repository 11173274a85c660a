import { MEMBERSHIP_LIMITS } from "./constants.ts";
import type { Notice } from "./membership.ts";
import type { NoticeState } from "./notice_state.ts";

/** Options of {@link acceptNotice}. */
export interface NoticeArrival {
  readonly notice: Notice;
  /** Encoded size. */
  readonly bytes: number;
  /** Number of heartbeats in which this daemon forwards the notice. */
  readonly sendCount: number;
  readonly nowMs: number;
}

/**
 * Stores a notice to forward it; returns true when it is new and must be delivered. A known, expired
 * or too large notice is ignored.
 */
export function acceptNotice(state: NoticeState, arrival: NoticeArrival): boolean {
  const { notice, bytes, sendCount, nowMs } = arrival;
  const id = JSON.stringify([notice.topic, notice.key]);
  const knownUntilMs = state.known.get(id);
  const ttlMs = Math.min(notice.ttlMs, MEMBERSHIP_LIMITS.maxNoticeTtlMs);
  if (ttlMs <= 0 || bytes > MEMBERSHIP_LIMITS.maxNoticeBytes) {
    return false;
  }
  if (knownUntilMs !== undefined && knownUntilMs > nowMs) {
    return false;
  }
  dropOldest(state.known, MEMBERSHIP_LIMITS.maxKnownNotices - 1);
  dropOldest(state.pending, MEMBERSHIP_LIMITS.maxPendingNotices - 1);
  state.known.delete(id);
  state.known.set(id, nowMs + ttlMs + MEMBERSHIP_LIMITS.noticeRetentionMs);
  state.pending.set(id, { notice, bytes, expiresAtMs: nowMs + ttlMs, sendsLeft: sendCount });
  return true;
}

function dropOldest(map: Map<string, unknown>, maxSize: number): void {
  for (const key of map.keys()) {
    if (map.size <= maxSize) {
      return;
    }
    map.delete(key);
  }
}
