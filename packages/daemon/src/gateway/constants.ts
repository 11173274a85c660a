/** Limits and intervals of a gateway. Times are in milliseconds. */
export const GATEWAY_LIMITS = {
  /**
   * Intervals between reads of the two hosts that read upstream changes for the fleet, as shares of
   * `drainMs`: a generation needs much of that time to move to another engine. The second host
   * stands by.
   */
  readerIntervalSharesOfDrain: [0.05, 0.25],
  /**
   * Age of the first reader's last read, as a share of `drainMs`, at which the second one takes over
   * its rate; the first may be unable to read while it is live.
   */
  silentReaderShareOfDrain: 0.35,
  /**
   * Time after which such a host reports, as a share of `drainMs`. Together with the time of a read
   * and of the report's way it must stay below `maxAgeShareOfDrain`.
   */
  readerReportShareOfDrain: 0.2,
  /**
   * Age of what a host knows of the upstreams, as a share of `drainMs`, at which it reads them
   * itself. The rest of the time is for the read.
   */
  maxAgeShareOfDrain: 0.5,
  /**
   * Time after its start in which a host that has heard from no other one applies no settings; the
   * answer of a live seed takes some 10 ms.
   */
  discoveryMs: 600,
  /** Time after its start in which a host does not read for the fleet: it discovers the others. */
  readerSettleMs: 600,
  /**
   * Reports contain the changes of `upstreamReportMs`. They confirm what a host knows if they leave
   * out no more than that time less this margin, for the time between a change and its read.
   */
  missedReportMarginMs: 700,
  /** Maximum joined upstreams in a report; with more, every host reads for itself. */
  maxJoinedUpstreams: 12,
  /** Longest pause between attempts to reach the settings service, as a share of `drainMs`. */
  maxBackoffShareOfDrain: 0.4,
  /**
   * Time after which a watch of the settings is restarted. It limits how long a silent connection
   * hides a new version from a host that no other host would tell of it. Together with the time in
   * which the silence shows, a read and the report's way it stays below the bound on new versions.
   */
  settingsPollTimeoutMs: 1_000,
  /** The same time on a host that hears from a reader, whose reports contain the last version. */
  confirmedPollTimeoutMs: 25_000,
  /**
   * Age of a reader's settings above which its reports no longer confirm what others know. It
   * exceeds two waits and the time in which a silent connection shows.
   */
  maxSettingsAgeMs: 3_000,
  /** Time for which callers may cache a directory response, and so call a lost host. */
  directoryTtlMs: 2_000,
  /** Minimum drain time of a host, in which it serves callers that have cached its address. */
  minDrainMs: 2_500,
  /** Part of the shutdown grace period reserved for the exit of the process. */
  exitReserveMs: 500,
  /** Part of that time in which the responses to requests that are still open are sent. */
  lastAnswersMs: 100,
  /** Largest header block that the parser accepts; the settings may limit it further. */
  maxParsedHeaderBytes: 65_536,
  /** Limits of what a host buffers. */
  buffers: {
    /** Memory of a process without buffers, in MB. */
    processMemoryMb: 64,
    /** Share of the rest of the memory for bodies. */
    bodyShare: 1 / 8,
    minBodyMib: 12,
    maxBodyMib: 32,
    /** Room for responses that are not complete, and for unsent ones, as shares of that. */
    answerShareOfBody: 2 / 3,
    unsentShareOfBody: 1 / 2,
  },
  /** Interval between checks of the timeouts of idle and slow connections. */
  connectionCheckMs: 500,
  /**
   * Time for which a host's load counts after its last report, as a multiple of the time after
   * which a host without a report is no longer live.
   */
  loadLiveTimeFactor: 1.5,
  /** Maximum upstreams with observed rates in a report, which must fit a packet of 1,500 bytes. */
  maxReportedUpstreams: 12,
  /** Minimum of the same number in a large fleet. */
  minReportedUpstreams: 3,
  /** Sum of the observations in the reports of all hosts that the number is derived from. */
  reportedUpstreamsOfFleet: 300,
  /** Limits of the quarantine that replace its defaults. */
  quarantine: {
    /**
     * Time for which reports of one crash are collected before they are published. It is short, as
     * notices reach the other hosts within some 10 ms and a retry must not wait for long.
     */
    collectMs: 100,
    /** Keeps a notice small enough for a report. */
    maxSuspects: 12,
  },
  /**
   * Time for which a request stays open after it was given up: an upstream that refuses it at its
   * deadline responds a round trip later.
   */
  lateResponseMs: 100,
  /** Interval between periodic checks. */
  tickMs: 100,
  /**
   * Gap between two ticks, on the monotonic or the wall clock, above which the process counts as
   * paused.
   */
  pauseThresholdMs: 1_000,
} as const;
