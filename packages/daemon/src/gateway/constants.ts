/** Figures of a gateway. Times are in milliseconds. */
export const GATEWAY_LIMITS = {
  /** Hosts that read changes of upstreams at once and tell the others who leaves. */
  promptReaders: 2,
  /** Pause between reads at all other hosts: well below the 2 s within which leaving must be known. */
  readPauseMs: 700,
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
  /** A gap between two ticks from which the process counts as paused. */
  pauseMs: 1_000,
} as const;
