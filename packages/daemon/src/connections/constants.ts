/** Limits of the connections that a process accepts. Times are in milliseconds. */
export const CONNECTION_LIMITS = {
  /** Open connections at each listener, on a host with enough descriptors. */
  maxConnections: {
    callers: 1_024,
    hosts: 512,
    directory: 128,
    readiness: 32,
    metrics: 32,
  },
  /** Share of the descriptors for them; the rest is for files and the host's own connections. */
  descriptorShare: 2 / 3,
  /** Time for which a body may arrive before its connection is closed in favour of another one. */
  bodyPatienceMs: 1_000,
  /**
   * Requests on one connection whose response has not been sent completely. Sound clients wait for
   * each response before they send the next request.
   */
  maxOpenRequests: { callers: 16, hosts: 16, directory: 8, readiness: 4, metrics: 4 },
  /** Such requests of all connections together, without the first of each connection. */
  maxRequestsAhead: 128,
  /** Bytes that are parsed at once, so that what follows an excessive request is not parsed. */
  parsedBytes: 4_096,
  /**
   * Bytes of the heads, and of the trailers, that are arriving on all connections together. Parsed
   * into short lines they take twelve times as much memory.
   */
  maxHeadBytes: 786_432,
  /** Bytes of a head that is never closed in favour of others. */
  ordinaryHeadBytes: 1_024,
  /** Bytes from which a part of a response is counted as a large buffer. */
  largeWriteBytes: 4_096,
  /** Interval between log lines on closed connections. */
  reportIntervalMs: 1_000,
} as const;
