/** Limits and intervals of the reports between hosts. Times are in milliseconds. */
export const HOST_LIMITS = {
  /** Interval of regular reports in a small fleet. */
  reportIntervalMs: 250,
  /**
   * Largest number of datagrams that a host sends per second for regular reports. In a fleet of
   * more than 20 hosts the interval grows accordingly: with 80 hosts, 316 datagrams per second used
   * 7% of a core and 3 Mbit/s in each direction on every host.
   */
  regularSendsPerSecond: 80,
  /** Delay in which changes are collected before an additional report is sent. */
  reportDelayMs: 8,
  /**
   * A host without a report for longer than this, which is four lost reports, is not live: its
   * address is not returned to callers.
   */
  liveMs: 1_000,
  /** The same limit in report intervals of a host; the longer applies. Covers one lost report. */
  liveIntervals: 2.5,
  /**
   * Time after its last report for which a host still receives reports and is assumed to use the
   * retry budget.
   */
  recentReportMs: 10_000,
  /** Time without a report after which a host is removed and its address is no longer tried. */
  removeAfterMs: 60_000,
  /** Interval at which reports are sent to addresses without a recent report. */
  addressRetryMs: 1_000,
  /** Length of a datagram's signature; forging it takes 2^63 attempts on average. */
  signatureBytes: 8,
  /** Largest number of stored hosts and of stored addresses; further ones are ignored. */
  maxHosts: 512,
  /** Peer addresses in a regular report; successive reports rotate through all of them. */
  reportedPeers: 8,
  /** Peer addresses sent to a newly seen host: the newest ones; they fit into one packet. */
  peersForNewHost: 48,
  /** Time for which a draining upstream is reported; covers several lost reports. */
  leavingReportMs: 3_000,
  /** Time for which a notice is reported; covers several lost reports. */
  noticeReportMs: 3_000,
  /** Notices in a report; with them a report fits into two packets of 1,500 bytes. */
  noticesPerReport: 2,
  /** Notices of this host stored for hosts that join later; at the limit the oldest is dropped. */
  maxLocalNotices: 64,
  /**
   * Identities of other hosts' notices, stored so that each notice is delivered once; at the limit
   * the oldest is evicted.
   */
  maxKnownNotices: 1_024,
} as const;
