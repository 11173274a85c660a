/** Figures of a gateway. Times are in milliseconds. */
export const GATEWAY_LIMITS = {
  /** Hosts that read changes of upstreams at once and tell the others who leaves. */
  promptReaders: 2,
  /** Pause between their reads: upstreams write 40 times a second in a fleet of 50. */
  promptReadPauseMs: 100,
  /** Pause between reads at all other hosts, as a share of the time in which leaving must be known. */
  readPauseDrainShare: 0.6,
  /**
   * Time after which a watch of the settings is begun anew: a silent connection hides a version for
   * no longer, and one of the hosts' watches ends several times a second in a large fleet.
   */
  settingsWaitMs: 3_000,
  /** The same for each host of a larger fleet. */
  settingsWaitPerHostMs: 125,
  /** Longest of these times. */
  maxSettingsWaitMs: 10_000,
  /** Time for which callers may keep a directory answer; a lost host is named no longer than this. */
  directoryTtlMs: 2_000,
  /** A leaving host answers those who still keep its address for this long. */
  lingerMs: 2_500,
  /** Part of the grace that is left for ending the process. */
  exitReserveMs: 500,
  /** Largest block of headers that is parsed at all; the published limit is checked besides. */
  maxParsedHeaderBytes: 65_536,
  /** Interval at which time limits of idle and slow connections are checked. */
  connectionCheckMs: 500,
  /** Live times for which the load of a host that falls silent still counts. */
  loadLiveTimes: 1.5,
  /** Upstreams whose observed rates a report carries; it stays below one packet of 1,500 bytes. */
  reportedConduct: 12,
  /** Limits of the quarantine that replace its defaults. */
  quarantine: {
    /** Hosts hear of each other's crashes within 10 ms, and a repeat must not wait for long. */
    settleMs: 100,
    /** A notice fits into a report. */
    maxSuspects: 12,
  },
  /** Interval of housekeeping. */
  tickMs: 100,
  /** A gap between two ticks from which the process counts as paused, by either clock. */
  pauseMs: 1_000,
} as const;
