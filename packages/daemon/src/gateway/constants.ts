/** Limits and intervals of a gateway. Times are in milliseconds. */
export const GATEWAY_LIMITS = {
  /** Number of hosts that read upstream changes often and report draining ones to the others. */
  frequentReaders: 2,
  /** Interval between reads at these hosts: upstreams write 40 times a second in a fleet of 50. */
  frequentReadIntervalMs: 100,
  /**
   * Interval between reads at all other hosts, as a share of the time within which every host must
   * know of a draining upstream.
   */
  readIntervalDrainShare: 0.6,
  /**
   * Time after which a watch of the settings is restarted. It limits how long a dead connection
   * hides a new version; in a large fleet, the watch of one host or another ends several times a
   * second.
   */
  settingsPollTimeoutMs: 3_000,
  /** Minimum of that time per live host, for larger fleets. */
  settingsPollTimeoutPerHostMs: 125,
  /** Upper bound of that time. */
  maxSettingsPollTimeoutMs: 10_000,
  /** Time for which callers may cache a directory response; limits their use of a lost host. */
  directoryTtlMs: 2_000,
  /** Minimum drain time of a host, in which it serves callers that have cached its address. */
  minDrainMs: 2_500,
  /** Part of the shutdown grace period reserved for the exit of the process. */
  exitReserveMs: 500,
  /** Largest header block that is parsed; the published limit is checked in addition. */
  maxParsedHeaderBytes: 65_536,
  /** Interval between checks of the timeouts of idle and slow connections. */
  connectionCheckMs: 500,
  /** Multiple of a host's live time for which its load still counts after its last report. */
  loadLiveTimeFactor: 1.5,
  /** Maximum upstreams with observed rates in a report, which must fit a packet of 1,500 bytes. */
  maxReportedUpstreams: 12,
  /** Limits of the quarantine that replace its defaults. */
  quarantine: {
    /** Crash notices reach the other hosts within 10 ms, and a retry must not wait for long. */
    collectMs: 100,
    /** Keeps a notice small enough for a report. */
    maxSuspects: 12,
  },
  /** Interval between periodic checks. */
  tickMs: 100,
  /** Gap between two ticks, by either clock, above which the process counts as paused. */
  pauseThresholdMs: 1_000,
} as const;
