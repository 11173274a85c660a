/** Limits and defaults of admission. */
export const ADMISSION_LIMITS = {
  /** Maximum number of length histograms; beyond it the least recently updated is evicted. */
  maxHistograms: 512,
  /** Time after which a recorded length has lost half its weight. */
  lengthHalfLifeMs: 1_800_000,
  /** Weight, in recorded lengths, of a broader histogram that is blended into a narrower one. */
  fallbackWeight: 8,
  /** Maximum number of entries that wait at one owner; beyond it the last in order is refused. */
  maxQueued: 512,
  /** Maximum number of running generations of one owner; it gives and adopts no more grants. */
  maxRunning: 1_024,
  /** Maximum number of queue places that one request holds at once. */
  maxPlaces: 3,
  /** One in this many grants goes to the longest waiting entry, regardless of urgency. */
  agedGrantInterval: 10,
  /** Waiting time after which an entry is eligible for such a grant. */
  agingMs: 60_000,
  /** Entries with less than this share of their time left precede the others of their class. */
  criticalSlackShare: 0.7,
  /** Urgency classes up to this one count as urgent. */
  urgentClass: 2,
  /** Share of the memory that only urgent entries may use. */
  urgentMemoryShare: 0.04,
  /** Batch slots that only urgent entries may use. */
  urgentSlots: 2,
  /** How long capacity stays reserved for urgent entries after the last urgent request. */
  urgentReserveMs: 60_000,
  /**
   * Wait after which an urgent entry is granted despite the token gap and memory limits; the engine
   * may then preempt other generations.
   */
  urgentBypassMs: 500,
  /** Standard deviations added to the projected memory. */
  projectionDeviations: 0.25,
  /** Share of the token gap target for which the batch limit is computed. */
  gapTargetShare: 0.95,
  /** A mean token gap above this multiple of its target increases the headroom. */
  gapAboveTargetFactor: 1.25,
  /** Minimum time after a change of the headroom before a token gap increases it. */
  gapRaiseIntervalMs: 1_000,
  /** Token gap assumed before any was observed. */
  defaultGapMs: 30,
  /** Delay to the first token assumed before any was observed. */
  defaultFirstTokenMs: 200,
  /** Share of the predicted remaining tokens that must fit before the deadline. */
  optimisticRemainingShare: 0.1,
  /** Minimum and maximum of the suggested retry delay. */
  minRetryAfterMs: 1_000,
  maxRetryAfterMs: 120_000,
  /** Lease time of a grant; it expires unless its entry daemon renews it. */
  grantLeaseMs: 20_000,
  /** Interval at which an entry daemon renews its grants. */
  renewMs: 6_000,
  /** Maximum number of grants in one renewal message. */
  maxRenewals: 256,
  /** Interval at which a waiting request repeats its requests to owners. */
  requestRetryMs: 1_000,
  /** Lease time of a queue place; it expires unless its entry daemon requests it again. */
  placeLeaseMs: 10_000,
  /** Timeout for an owner's reply. */
  ownerTimeoutMs: 300,
  /** Maximum number of requests that wait at one entry daemon; further ones are refused. */
  maxWaiting: 4_096,
  /** Maximum number of grants on one upstream that an entry daemon gives itself. */
  maxSelfGrants: 2,
  /** Interval at which an owner polls an engine for its load report. */
  pollMs: 1_000,
  /** Memory assumed for an engine whose settings state none. */
  defaultCapacityTokens: 32_768,
  /** Maximum number of running generations before the engine's first load report to a new owner. */
  maxGrantsBeforeReport: 4,
  /** Time after which a former owner drops an upstream that has no grants and an empty queue. */
  formerOwnerTtlMs: 60_000,
  /** Half-life of served tokens in the fairness accounting. */
  servedTokensHalfLifeMs: 120_000,
  /** Maximum number of teams with served tokens; the least recently served is evicted. */
  maxTeams: 4_096,
  /** Maximum number of prefixes in the index; beyond it the least recently recorded is evicted. */
  maxPrefixes: 8_192,
  /** Maximum number of upstreams recorded for one prefix. */
  maxPrefixHolders: 8,
  /** Lifetime of a record of a prefix on an upstream after its last placement or cache event. */
  prefixTtlMs: 300_000,
  /** Maximum number of pairs of upstream and kind with a moving average of a latency. */
  maxLatencies: 8_192,
  /** Lifetime of a mark that an upstream is draining. */
  leavingTtlMs: 600_000,
  /** Maximum number of upstreams marked as draining; beyond it the oldest mark is evicted. */
  maxLeaving: 4_096,
} as const;
