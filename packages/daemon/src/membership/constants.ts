/** Limits and periods of membership. Times in milliseconds. */
export const MEMBERSHIP_LIMITS = {
  /** Period of the decision tick. */
  tickMs: 200,
  /** Time between two probes sent by one daemon. */
  probeIntervalMs: 400,
  /** Time without a reply after which helpers are asked. */
  directTimeoutMs: 600,
  /** Time without any reply after which the member is suspected. */
  probeTimeoutMs: 1_600,
  /** Members asked to probe on this daemon's behalf. */
  helpers: 3,
  /** Time a suspected member has to refute before it counts as dead. */
  suspicionMs: 5_000,
  /** A member heard from within this time is not suspected on another's word. */
  heardRecentlyMs: 3_000,
  /** Shortest time between two refutations sent to all neighbours at once. */
  refuteIntervalMs: 2_000,
  /** Period at which one member that counts as dead is probed, so that partitions heal. */
  deadProbeIntervalMs: 5_000,
  /** Shortest time between two pulls of a whole view. */
  syncIntervalMs: 15_000,
  /** Time for which no peer's digest matched after which a whole view is pulled. */
  mismatchMs: 8_000,
  /** Gap between two observations of the clock that counts as a pause of this process. */
  pauseMs: 2_000,
  /** Peers whose view must arrive before this daemon trusts its own again. */
  freshReplies: 2,
  /** Shortest time between two pulls while the own view is not trusted. */
  freshSyncMs: 400,
  /** Time after which a started daemon trusts its view without a reply. */
  startWaitMs: 5_000,
  /** Time after which a paused daemon trusts its view without a reply. */
  wakeWaitMs: 15_000,
  /** Time after a start within which the records of an earlier process are overridden. */
  joinGraceMs: 10_000,
  /** Member updates in one heartbeat; the rest waits for the next ones. */
  maxUpdates: 12,
  /** Members of one view; published hosts beyond it are left out, in order of name. */
  maxMembers: 4_096,
  /** Encoded bytes of all riders in one heartbeat; a payload beyond it is left out. */
  maxRiderBytes: 768,
  /** Encoded bytes of one notice; a larger one is refused. */
  maxNoticeBytes: 1_024,
  /** Encoded bytes of the notices in one heartbeat; the rest waits for the next ones. */
  maxNoticeBytesPerBeat: 1_536,
  /** Notices waiting to be passed on; the oldest is dropped at the bound. */
  maxPendingNotices: 256,
  /** Identities of notices remembered; the oldest is forgotten at the bound. */
  maxKnownNotices: 8_192,
  /** Longest lifetime of a notice. */
  maxNoticeTtlMs: 3_600_000,
  /** Time for which the identity of a notice outlives the notice. */
  noticeMemoryMs: 30_000,
} as const;
