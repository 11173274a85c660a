/** Bounds and defaults of the admission slice. */
export const ADMISSION_LIMITS = {
  /** Length histograms kept; the least recently used is dropped. */
  maxHistograms: 512,
  /** Time in which an observed length loses half its weight. */
  lengthHalfLifeMs: 1_800_000,
  /** Observations that a broader histogram counts for in a narrower one. */
  fallbackWeight: 8,
  /** Entries waiting at one owner; at the bound the least urgent is refused. */
  maxQueued: 512,
  /** Generations that one owner tracks; further grants are refused. */
  maxRunning: 1_024,
  /** Queue places that one request holds at once. */
  maxPlaces: 3,
  /** One of so many grants goes to the longest waiting entry, whatever its urgency. */
  agedGrantEvery: 10,
  /** Waiting time after which an entry may take such a grant. */
  agingMs: 60_000,
  /** Entries with less than this share of their time left go before the others of their class. */
  criticalSlackShare: 0.7,
  /** Urgency classes up to this one count as urgent. */
  urgentClass: 2,
  /** Share of the memory that only urgent entries may use. */
  urgentMemoryShare: 0.04,
  /** Batch slots that only urgent entries may use. */
  urgentSlots: 2,
  /** Time for which an urgent kind counts as present after its last request. */
  urgentPresenceMs: 60_000,
  /** Wait after which an urgent entry may displace others on the engine. */
  urgentPatienceMs: 500,
  /** Standard deviations added to the projected memory. */
  projectionDeviations: 0.25,
  /** Share of a token gap target that the batch limit aims at. */
  gapTargetShare: 0.95,
  /** Mean token gaps above this multiple of their target raise the headroom. */
  raisedGapFactor: 1.25,
  /** Time between two raises of the headroom by token gaps. */
  gapReactionMs: 1_000,
  /** Token gap assumed before any was observed. */
  defaultGapMs: 30,
  /** Delay to the first token assumed before any was observed. */
  defaultFirstTokenMs: 200,
  /** Share of the predicted rest that must fit before the deadline. */
  optimisticRestShare: 0.1,
  /** Lower and upper bound of advised delays before another try. */
  minRetryAfterMs: 1_000,
  maxRetryAfterMs: 120_000,
  /** Life of a grant that its entry daemon does not renew. */
  grantLeaseMs: 20_000,
  /** Time between two reports of an entry daemon about its grants. */
  renewMs: 6_000,
  /** Grants in one report. */
  maxRenewals: 256,
  /** Time between two questions of a waiting entry to its owners. */
  askAgainMs: 1_000,
  /** Life of a queue place that its entry daemon does not ask for again. */
  placeLeaseMs: 10_000,
  /** Bound of the wait for an owner's answer. */
  ownerTimeoutMs: 300,
  /** Requests that wait at one entry daemon; at the bound the next one is refused. */
  maxWaiting: 4_096,
  /** Grants that an entry daemon gives itself on one upstream whose owner is silent. */
  localShare: 2,
  /** Time between two load reports that an owner asks an engine for. */
  pollMs: 1_000,
  /** Memory assumed of an engine that states none. */
  defaultCapacityTokens: 32_768,
  /** Grants of a new owner before the engine's first report. */
  firstGrants: 4,
  /** Time after which a former owner forgets an upstream without grants. */
  formerOwnerMs: 60_000,
  /** Time in which served tokens lose half their weight in fairness. */
  serviceHalfLifeMs: 120_000,
  /** Teams whose service is remembered; the least served is forgotten. */
  maxTeams: 4_096,
  /** Prefixes remembered; the least recently used is dropped. */
  maxPrefixes: 8_192,
  /** Upstreams remembered for one prefix. */
  maxPrefixHolders: 8,
  /** Life of a prefix placement that no cache event confirms. */
  prefixTtlMs: 300_000,
  /** Pairs of upstream and kind whose speed is remembered. */
  maxSpeeds: 8_192,
  /** Life of a sign that an upstream is leaving. */
  leavingTtlMs: 600_000,
  /** Upstreams remembered as leaving; the oldest sign is dropped. */
  maxLeaving: 4_096,
} as const;
