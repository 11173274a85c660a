/** Limits of handing requests to other hosts. Times are in milliseconds. */
export const HANDOVER_LIMITS = {
  /** Timeout for connecting to another host; the deployments' links respond within 20 ms. */
  connectTimeoutMs: 200,
  /** Hosts that one request is offered to, one after another, while none has accepted it. */
  maxHosts: 3,
  /** Time for which a host that refuses connections is offered nothing. */
  unreachableMs: 1_000,
  /** Largest buffered response. */
  maxAnswerBytes: 4 * 1_048_576,
  /** Time after a request's deadline in which the other host's own response may arrive. */
  deadlineGraceMs: 100,
} as const;
