import type { Notice } from "./membership.ts";

/** Notice that is still passed on. */
export interface PendingNotice {
  readonly notice: Notice;
  readonly expiresAtMs: number;
  /** Encoded size. */
  readonly bytes: number;
  sendsLeft: number;
}

/** Notices that this daemon knows. Keys are topic and key. */
export interface NoticeState {
  /** Bounded by `maxPendingNotices`; the oldest is dropped at the bound. */
  readonly pending: Map<string, PendingNotice>;
  /** Until when a notice is remembered; bounded by `maxKnownNotices`, the oldest is forgotten. */
  readonly known: Map<string, number>;
}
