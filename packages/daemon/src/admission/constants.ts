/** Bounds and defaults of the admission slice. */
export const ADMISSION_LIMITS = {
  /** Length histograms kept; the least recently used is dropped. */
  maxHistograms: 512,
  /** Time in which an observed length loses half its weight. */
  lengthHalfLifeMs: 1_800_000,
  /** Weight, in observations, of a broader histogram that is blended into a narrower one. */
  fallbackWeight: 8,
  /** Entries waiting at one owner; at the bound the least urgent is refused. */
  maxQueued: 512,
  /** Generations that one owner tracks; further grants are refused. */
  maxRunning: 1_024,
  /** Queue places that one request holds at once. */
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
  /** Share of the token gap target that the batch limit is computed for. */
  gapTargetShare: 0.95,
  /** Mean token gaps above this multiple of their target increase the headroom. */
  raisedGapFactor: 1.25,
  /** Minimum time between two increases of the headroom by token gaps. */
  gapRaiseIntervalMs: 1_000,
  /** Token gap assumed before any was observed. */
  defaultGapMs: 30,
  /** Delay to the first token assumed before any was observed. */
  defaultFirstTokenMs: 200,
  /** Share of the predicted remaining tokens that must fit before the deadline. */
  optimisticRemainingShare: 0.1,
  /** Lower and upper bound of the suggested retry delay. */
  minRetryAfterMs: 1_000,
  maxRetryAfterMs: 120_000,
  /** Lease time of a grant; it expires unless its entry daemon renews it. */
  grantLeaseMs: 20_000,
  /** Interval at which an entry daemon renews its grants. */
  renewMs: 6_000,
  /** Grants in one renewal message. */
  maxRenewals: 256,
  /** Interval at which a waiting request repeats its requests to owners. */
  requestRetryMs: 1_000,
  /** Lease time of a queue place; it expires unless its entry daemon requests it again. */
  placeLeaseMs: 10_000,
  /** Timeout for an owner's reply. */
  ownerTimeoutMs: 300,
  /** Requests that wait at one entry daemon; at the bound the next one is refused. */
  maxWaiting: 4_096,
  /** Grants that an entry daemon may give itself on one upstream whose owner does not reply. */
  maxSelfGrants: 2,
  /** Interval at which an owner polls an engine for its load report. */
  pollMs: 1_000,
  /** Memory assumed for an engine whose settings state none. */
  defaultCapacityTokens: 32_768,
  /** Grants that a new owner may give before the engine's first load report. */
  maxGrantsBeforeReport: 4,
  /** Time after which a former owner drops an upstream that has no grants and an empty queue. */
  formerOwnerTtlMs: 60_000,
  /** Half-life of served tokens in the fairness accounting. */
  serviceHalfLifeMs: 120_000,
  /** Teams whose served tokens are tracked; the least recently served is dropped. */
  maxTeams: 4_096,
  /** Prefixes remembered; the least recently used is dropped. */
  maxPrefixes: 8_192,
  /** Upstreams remembered for one prefix. */
  maxPrefixHolders: 8,
  /** Lifetime of a prefix index entry after its last placement or cache event. */
  prefixTtlMs: 300_000,
  /** Pairs of upstream and kind whose speed is remembered. */
  maxSpeeds: 8_192,
  /** Lifetime of a mark that an upstream is draining. */
  leavingTtlMs: 600_000,
  /** Upstreams marked as draining; the oldest mark is dropped. */
  maxLeaving: 4_096,
} as const;
