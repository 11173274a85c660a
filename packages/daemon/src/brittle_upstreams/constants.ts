/** Limits of requests to brittle upstreams. Times are in milliseconds. */
export const BRITTLE_LIMITS = {
  /** Time in which the room of an upstream that had trouble grows by one request. */
  growthMs: 400,
  /** Time after a response for which a host reports what it says. */
  reportMs: 3_000,
  /** Largest number of upstreams in a report. */
  maxReported: 64,
  /** Time for which the owner of an upstream is cached. */
  ownerCacheMs: 100,
  /** Requests of one service that wait at one host; further ones are refused. */
  maxWaiting: 256,
  /** Weight of the last execution in the mean time of executions. */
  executionWeight: 0.1,
  /** Assumed time of an execution before the first one has ended. */
  initialExecutionMs: 100,
} as const;
