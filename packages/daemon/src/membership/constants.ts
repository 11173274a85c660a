/** Limits and intervals of membership. Times are in milliseconds. */
export const MEMBERSHIP_LIMITS = {
  /** Interval of the decision tick. */
  tickMs: 200,
  /** Time between two probes sent by one daemon. */
  probeIntervalMs: 400,
  /** Time without a reply after which helpers are requested to probe the member. */
  directTimeoutMs: 600,
  /** Time without any reply after which the member is suspected. */
  probeTimeoutMs: 1_600,
  /** Number of members that are requested to probe on this daemon's behalf. */
  helpers: 3,
  /** Time in which a suspected member can refute the suspicion before it is considered dead. */
  suspicionMs: 5_000,
  /** A member whose last heartbeat is at most this old is not suspected because of a peer's report. */
  recentHeartbeatMs: 3_000,
  /** Shortest time between two refutations sent to all neighbours at once. */
  refuteIntervalMs: 2_000,
  /** Interval at which one dead member is probed, so that the views merge after a partition. */
  deadProbeIntervalMs: 5_000,
  /** Shortest time between two pulls of a complete view. */
  syncIntervalMs: 15_000,
  /** Time without a matching digest from any peer after which a complete view is pulled. */
  mismatchMs: 8_000,
  /** Gap between two clock readings above which this process is assumed to have been paused. */
  pauseThresholdMs: 2_000,
  /** Number of peers whose view must arrive before this daemon trusts its own view again. */
  freshReplies: 2,
  /** Shortest time between two pulls while this daemon does not trust its own view. */
  freshSyncMs: 400,
  /** Time after the start of a daemon after which it trusts its view without a reply. */
  startWaitMs: 5_000,
  /** Time after a pause of a daemon after which it trusts its view without a reply. */
  resumeWaitMs: 15_000,
  /** Time after a start in which records of an earlier process of this host are overridden. */
  joinGraceMs: 10_000,
  /** Largest number of member updates in one heartbeat; the others wait for later heartbeats. */
  maxUpdates: 12,
  /** Largest number of members in a view; published hosts whose names sort last are left out. */
  maxMembers: 4_096,
  /** Encoded bytes of all payloads in one heartbeat; a payload that exceeds them is left out. */
  maxPayloadBytes: 768,
  /** Encoded bytes of one notice; a larger one is refused. */
  maxNoticeBytes: 1_024,
  /** Encoded bytes of the notices in one heartbeat; the others wait for later heartbeats. */
  maxNoticeBytesPerHeartbeat: 1_536,
  /** Largest number of notices to forward; when it is reached, the oldest notice is dropped. */
  maxPendingNotices: 256,
  /** Largest number of known notice identities; when it is reached, the oldest is evicted. */
  maxKnownNotices: 8_192,
  /** Longest lifetime of a notice. */
  maxNoticeTtlMs: 3_600_000,
  /** Time for which the identity of a notice is kept after the notice has expired. */
  noticeRetentionMs: 30_000,
} as const;
