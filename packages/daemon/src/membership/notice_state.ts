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
  /** At most `maxPendingNotices`; at this limit the oldest is dropped. */
  readonly pending: Map<string, PendingNotice>;
  /**
   * Time until which a copy of each notice is recognized and ignored. At most `maxKnownNotices`; at
   * this limit the oldest is evicted.
   */
  readonly known: Map<string, number>;
}
