/** Default limits of the quarantine. */
export const QUARANTINE_DEFAULTS = Object.freeze({
  /** Reports on one upstream within this time count as one crash. */
  crashWindowMs: 5_000,
  /**
   * Time for which the reports of one crash are collected before they are published to the fleet.
   */
  collectMs: 500,
  /** Maximum number of stored crashes; above it, the oldest is evicted. */
  maxCrashes: 128,
  /** Maximum suspects of one crash; a report omits those with the most tokens. */
  maxSuspects: 64,
  /** Time for which a crash counts as evidence. */
  evidenceMs: 600_000,
  /** Time for which a request stays quarantined. */
  quarantineMs: 600_000,
  /** Maximum quarantined requests; above it, the one that expires first is evicted. */
  maxQuarantined: 512,
  /** Maximum produced tokens for which a generation counts as in its first steps. */
  earlyTokens: 8,
  /** Minimum number of different upstreams that crashed while they ran the request. */
  minCrashes: 2,
  /** Minimum score to quarantine a request that was in its first steps at each of its crashes. */
  minScore: 1.5,
  /** Crashes of `massUpstreams` upstreams within this time are not attributed to a request. */
  massWindowMs: 10_000,
  massUpstreams: 4,
});

/** Limits of the quarantine by name. */
export type QuarantineSettings = Readonly<Record<keyof typeof QUARANTINE_DEFAULTS, number>>;
