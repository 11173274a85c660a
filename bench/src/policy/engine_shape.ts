/** Step times and limits that the modelled engines share; see the engine model for units. */
export const ENGINE_SHAPE = {
  maxBatch: 64,
  baseStepMs: 14,
  sequenceStepMs: 0.5,
  prefillTokenMs: 0.04,
  /** Size of the prefix cache, which comes on top of an engine's memory, as a share of it. */
  prefixCacheShare: 0.25,
  /** Age of load reports, fresh and stale, in milliseconds. */
  freshLagMs: 500,
  staleLagMs: 10_000,
  /** Target time between tokens of every kind, in milliseconds. */
  tokenGapMs: 37,
} as const;
