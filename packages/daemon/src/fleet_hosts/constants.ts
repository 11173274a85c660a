/** Limits and intervals of the reports between hosts. Times are in milliseconds. */
export const HOST_LIMITS = {
  /** Interval of regular reports in a small fleet. */
  reportIntervalMs: 250,
  /** Minimum interval of regular reports in a large fleet, where relays send each of them on. */
  relayedIntervalMs: 1_000,
  /**
   * Largest number of regular reports of the whole fleet per second; every host receives and decodes
   * all of them. In a fleet of more than 100 hosts the interval grows accordingly.
   */
  regularReportsPerSecond: 100,
  /**
   * Largest number of other hosts to which a host sends its reports itself. In a larger fleet it
   * sends them to the relays of its data centre: with 80 hosts, 316 datagrams per second used 7% of a
   * core and 3 Mbit/s in each direction on every host.
   */
  maxMeshHosts: 20,
  /** Relays of a data centre that receive a host's report; the later ones stand by. */
  relaysPerReport: 3,
  /** Relays of another data centre that receive a batch; the second one stands by. */
  relaysPerBatch: 2,
  /** Delay in which a relay collects regular reports. */
  regularRelayMs: 100,
  /** Minimum interval between two batches of a relay. */
  minRelayIntervalMs: 100,
  /**
   * Time after which the next relay forwards a report that no other relay has forwarded. It exceeds
   * the delay and the interval of the first relay and two transfers between data centres.
   */
  relayTakeoverMs: 250,
  /** Time for which a host stores the relays of its data centre; a batch needs them many times. */
  relayCacheMs: 20,
  /**
   * Time in which a host's report must return from the first relay; otherwise the host sends it to
   * the relays that stand by. It exceeds the delay and the interval of the first relay and is below
   * `relayTakeoverMs`, so the second relay forwards the report as early as if it had had it at once.
   */
  confirmMs: 200,
  /** Largest body of a datagram; with the headers it fits into a packet of 1,500 bytes. */
  maxBatchBytes: 1_350,
  /** Largest compressed datagram; a packet of 1,500 bytes has 1,472 for it. */
  maxCompressedBytes: 1_460,
  /**
   * First byte of a compressed body. Msgpack does not use it, so an earlier build rejects such a
   * body whole.
   */
  compressedMark: 0xc1,
  /**
   * Compression of a batch. Level 3 would make it 7% larger and take a quarter less time. The small
   * window and buffers suffice for some kilobytes; the defaults take 256 KB for each call
   * and showed as garbage collection.
   */
  compression: { level: 6, windowBits: 13, memLevel: 6, chunkSize: 4_096 },
  /** The window must not be smaller than that of the compression. */
  inflation: { windowBits: 13, chunkSize: 8_192 },
  /** Largest body after decompression; the reports of 512 hosts fit several times. */
  maxInflatedBytes: 1_048_576,
  /** Reports are only compressed for hosts with at least this `protocolVersion`. */
  compressionVersion: 1,
  /** Largest number of messages in a datagram. */
  maxMessages: 16,
  /** In a large fleet, the delay after which a change that is not urgent is reported. */
  changeDelayMs: 100,
  /** Minimum interval between two sets of reports sent to a host that knows fewer hosts. */
  knownReportsIntervalMs: 500,
  /** A host that knows a smaller share of the known hosts than this is sent their reports. */
  knownHostsShare: 0.97,
  /** Addresses without a recent report that are tried in one interval in a large fleet. */
  retriedAddresses: 8,
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
  /**
   * Peer addresses sent to a newly seen host: the newest ones. With more than `maxMeshHosts` of them
   * the new host sends its report to the relays, which return the rest.
   */
  peersForNewHost: 24,
  /** Time for which a joined or draining upstream is reported; covers several lost reports. */
  upstreamReportMs: 3_000,
  /** Largest number of draining upstreams in a report; the ones known last are reported. */
  maxReportedLeaving: 128,
  /** Time for which a notice is reported; covers several lost reports. */
  noticeReportMs: 3_000,
  /** Largest number of notices in a report that a relay merged from several. */
  maxReportNotices: 8,
  /** Maximum services in a report that its host does not reach. */
  maxReportedServices: 64,
  /** Maximum evacuations in a report. */
  maxReportedEvacuations: 64,
  /** Maximum cold upstreams in a report. */
  maxReportedCold: 64,
  /** Maximum entries of a report on the requests that wait. */
  maxReportedWaiting: 16,
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
