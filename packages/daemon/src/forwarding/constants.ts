/** Bounds of forwarding. Times are in milliseconds. */
export const FORWARDING_LIMITS = {
  /** Time for a connection to an upstream; the deployments' links answer within 20 ms. */
  connectTimeoutMs: 400,
  /** Largest answer of a plain service that is held until it is whole; larger ones end as unknown. */
  maxAnswerBytes: 4 * 1_048_576,
  /** Bodies and answers held by this host at once; more are refused. */
  maxHeldBytes: 32 * 1_048_576,
  /** Unsent bytes at which a caller that does not read is cut off. */
  maxUnreadBytes: 1_048_576,
  /** Least part of the time left that the first attempt of a repeatable request gets. */
  firstAttemptShare: 0.4,
  /** Times the route's target that the first attempt of a repeatable request gets. */
  firstAttemptTargets: 3,
  /** Interval at which running requests are checked for silence and time limits. */
  tickMs: 50,
  /** Silence of a running generation after which its copy takes over: far above a reading stall. */
  silenceMs: 1_200,
  /** Base of the time after which a refused caller may come back. */
  retryAfterMs: 800,
  /** Spread of that time by chance, so that callers do not come back together. */
  retrySpreadMs: 1_200,
  /** Time for a copy of memory while the generation runs on. */
  copyTimeoutMs: 5_000,
  /** Pause before a copy that is not whole yet is asked again: copies grow several times a second. */
  copyRetryMs: 200,
  /** Time after which a generation is moved instead; a notice leaves some 1.5 s. */
  copyPatienceMs: 600,
  /** Time for an upstream to begin where a generation is to go on; a sound one takes some 50 ms. */
  resumeTimeoutMs: 800,
  /** The same where nothing else is left: callers give a stream up after some 7 s without an event. */
  restoreTimeoutMs: 6_000,
  /** Pause before a step of a move is tried again. */
  moveRetryMs: 100,
  /** Shorter rests end before most notices run out, so they get no copy. */
  minCopiedTokens: 100,
  /** Targets that one move tries. */
  maxMoveTargets: 4,
  /** Moves from one engine under way at this host; its link carries one after another. */
  maxMovesPerUpstream: 3,
  /** Waiting generations of this host; more are refused. */
  maxWaiting: 256,
} as const;
