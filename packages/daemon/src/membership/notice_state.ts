import type { Notice } from "./membership.ts";

/** Notice that still has to be forwarded. */
export interface PendingNotice {
  readonly notice: Notice;
  readonly expiresAtMs: number;
  /** Encoded size. */
  readonly bytes: number;
  sendsLeft: number;
}

/** Notices that this daemon knows. The map keys consist of topic and key. */
export interface NoticeState {
  /** Bounded by `maxPendingNotices`; the oldest is dropped when the bound is reached. */
  readonly pending: Map<string, PendingNotice>;
  /** Time until which each notice is known; bounded by `maxKnownNotices`, the oldest is dropped. */
  readonly known: Map<string, number>;
}
