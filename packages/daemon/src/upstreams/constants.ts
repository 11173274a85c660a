/** Times of the upstream table, in milliseconds. */
export const UPSTREAM_LIMITS = {
  /**
   * Records that lapsed during an outage return about 2 s after its end, as the deployment
   * documents.
   */
  lapseGraceMs: 2_300,
  /**
   * Time after a restore of the settings service in which records of upstreams that have left may
   * stand in it: a record that is not renewed expires after three heartbeats.
   */
  restoreGraceMs: 5_000,
  /**
   * Time for which an upstream is excluded after a failed connection; a restart takes some seconds.
   */
  unreachableMs: 1_000,
  /** Longest cold time that a response or another host can tell. */
  maxColdMs: 600_000,
  /** Longest pause that an upstream can ask for. */
  maxPauseMs: 600_000,
  /** Maximum random time added to a pause, so that not all hosts return at its end. */
  pauseSpreadMs: 500,
  /** The same limit as a share of the pause; the smaller applies. */
  pauseSpreadShare: 0.25,
  /**
   * Time for which removed upstreams are kept. They still serve for some seconds at most; the
   * duration of the longest request determines the value.
   */
  retentionMs: 40_000,
} as const;
