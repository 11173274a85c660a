/** Limits of request forwarding. Times are in milliseconds. */
export const FORWARDING_LIMITS = {
  /** Time between the deadline of a request and the end of a draining host, to send a response. */
  drainReserveMs: 250,
  /** Timeout for connecting to an upstream; the deployments' links respond within 20 ms. */
  connectTimeoutMs: 400,
  /** Largest buffered response of a plain service; the outcome of a larger one is unknown. */
  maxAnswerBytes: 4 * 1_048_576,
  /** Bytes of a stream without a new event id after which it counts as broken off. */
  maxEventBytes: 1_048_576,
  /** Bytes beside a caller's body, in the heads of its chunks, and as many for each of its bytes. */
  maxFramingBytes: 262_144,
  framingBytesPerBodyByte: 8,
  /** Interval between checks of these bytes while a chunked body arrives. */
  framingCheckMs: 100,
  /** Bytes of a body that are read after its request was refused. */
  maxDroppedBytes: 1_048_576,
  /** Unsent bytes above which the connection to a slow caller is closed. */
  maxUnsentBytes: 1_048_576,
  /** Minimum share of the remaining time for the first attempt of a repeatable request. */
  firstAttemptShare: 0.4,
  /** Minimum time for the first attempt of a repeatable request, as a multiple of the target. */
  firstAttemptTargetFactor: 3,
  /** Mean interval between checks of running requests for missing events and deadlines. */
  tickMs: 50,
  /** The same interval while no generation runs or waits, as on most hosts of a large fleet. */
  idleTickMs: 500,
  /**
   * Time without an event after which a running generation tries its backup copy; far above
   * the pauses that the prefill of other prompts causes.
   */
  eventTimeoutMs: 1_200,
  /** Delay before the engine with the backup copy of a silent generation is requested again. */
  silenceRetryMs: 200,
  /** Time from its first event after which a generation is well under way on an upstream. */
  firstStepsMs: 1_000,
  /** Base delay before a refused caller may retry. */
  retryAfterMs: 800,
  /** Maximum random jitter added to that delay, so that callers do not retry together. */
  retrySpreadMs: 1_200,
  /** Maximum random jitter added to the end of a pause that all upstreams of a service ask for. */
  pauseRetrySpreadMs: 500,
  /**
   * Timeout for an upstream to resume a generation that runs on at its source meanwhile: both may run
   * it for 400 ms.
   */
  moveResponseMs: 250,
  /**
   * Time for which a generation waits for its former engine to confirm that it has stopped, before
   * it goes on elsewhere because that engine cannot be reached.
   */
  stopWaitMs: 300,
  /** Timeout of a call to stop a generation; the engine stops first and then copies its KV cache. */
  stopTimeoutMs: 1_000,
  /** Delay before the second such call; it doubles with each further one. */
  stopRetryMs: 50,
  /** Longest such delay: an engine that can be reached again may run on for 400 ms. */
  maxStopRetryMs: 250,
  /** Further calls to an engine that knows of no such generation, which it may start late. */
  maxLateStopCalls: 4,
  /** Time for which a probed connection must last, as a reset arrives within a round trip. */
  probeHoldMs: 20,
  /** Time for which a generation waits for an engine that cannot be told to stop for now. */
  untoldWaitMs: 2_000,
  /** Timeout for copying a KV cache while the generation keeps running. */
  cacheCopyTimeoutMs: 5_000,
  /** Delay before a retry of an incomplete backup copy; it is updated several times a second. */
  backupRetryMs: 200,
  /**
   * Time spent on trying the backup copy before the KV cache is copied instead; about 1.5 s remain
   * after a drain notice.
   */
  maxBackupWaitMs: 600,
  /** Timeout for an upstream to resume a generation; a healthy one takes about 50 ms. */
  resumeTimeoutMs: 800,
  /**
   * The same timeout when there is no alternative to the backup copy: callers abandon a stream
   * after about 7 s without an event.
   */
  restoreTimeoutMs: 6_000,
  /** Timeout for the permit to call a limited upstream for a migration step. */
  movePermitTimeoutMs: 600,
  /** Delay before a failed migration step is retried. */
  migrationRetryMs: 100,
  /**
   * Generations with fewer expected tokens get no backup copy, because most of them complete before
   * a draining upstream ends.
   */
  minBackupTokens: 100,
  /** Maximum number of target upstreams that one migration tries. */
  maxMigrationTargets: 4,
  /** Maximum concurrent migrations from one engine; its network link transfers one at a time. */
  maxMigrationsPerUpstream: 3,
  /** Longest wait as a multiple of the route's target: callers disconnect at four times it. */
  maxWaitTargetFactor: 2.5,
  /** Longest wait as a share of the request's timeout. */
  maxWaitTimeoutShare: 0.3,
  /** Maximum limited upstreams that are asked for a permit to start one generation. */
  maxLimitedCandidates: 8,
  /** Priority of generations that resume: they come before any that starts. */
  resumePriority: -1,
  /**
   * Shortest gap after which callers abandon a stream. They also wait for four times the target, and
   * for eight times the gap target of 180 ms, which is always shorter than this.
   */
  callerPatienceMs: 2_000,
  /** The same gap as a multiple of the route's target. */
  callerPatienceTargetFactor: 4,
  /** Share of that gap in which a generation that is run again waits for room; prefill follows. */
  rerunWaitShare: 0.6,
  /**
   * Time after a drain notice at which a resumable generation that has not migrated is run again;
   * engines end 1.5 to 2.1 s after a notice, which may be known 100 ms later.
   */
  drainRerunMs: 1_000,
  /** The same time for one whose KV cache is being copied, which costs less than a run again. */
  drainCopyRerunMs: 1_300,
  /** Maximum length of this host's wait queue; generations beyond it are refused. */
  maxQueued: 256,
} as const;
