/** Figures of the hosts' reports to each other. Times are in milliseconds. */
export const HOST_LIMITS = {
  /** Interval of regular reports in a small fleet. */
  reportIntervalMs: 250,
  /**
   * Datagrams that a host sends in a second by regular reports at most; above 20 hosts the interval
   * grows. 80 hosts at 316 a second took 7% of a core and 3 Mbit/s each way of every host.
   */
  regularSendsPerSecond: 80,
  /** News are gathered this long before they are reported. */
  newsDelayMs: 8,
  /** A host that has not been heard for this long is not named to callers: four lost reports. */
  liveMs: 1_000,
  /** The same in intervals of its own reports, where that is longer: one lost report. */
  liveIntervals: 2.5,
  /** A host may still spend its share of the retry budget this long after it was last heard. */
  spenderMs: 10_000,
  /** A host is forgotten, and its address no longer tried, after this time. */
  forgetMs: 60_000,
  /** Addresses that are silent are tried at this interval. */
  silentAddressMs: 1_000,
  /** Length of a datagram's signature; forging it needs 2^63 tries on average. */
  signatureBytes: 8,
  /** Hosts that are remembered; further ones are left out. */
  maxHosts: 512,
  /** Peer addresses that a regular report carries, in turn. */
  reportedPeers: 8,
  /** Peer addresses for a host that is new here, the newest ones; they fit into one packet. */
  greetedPeers: 48,
  /** How long a leaving upstream is reported: several lost reports. */
  leavingReportMs: 3_000,
  /** How long a notice is reported: several lost reports. */
  noticeReportMs: 3_000,
  /** Notices that a report carries; with them it stays within two packets of 1,500 bytes. */
  noticesPerReport: 2,
  /** Own notices that are kept for hosts that join; the oldest are dropped. */
  maxOwnNotices: 64,
  /** Other hosts' notices that are remembered, so that each is delivered once. */
  maxKnownNotices: 1_024,
} as const;
