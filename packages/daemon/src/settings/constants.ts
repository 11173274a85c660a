/** Limits and intervals of the settings slice. */
export const SETTINGS_LIMITS = {
  /** Longest path, in UTF-16 code units; a longer one is ignored and logged. */
  maxPathLength: 512,
  /** Largest value, in bytes of UTF-8; a larger one is rejected and not stored. */
  maxValueBytes: 1_048_576,
  /** Findings stored for one rejected value; further ones are dropped. */
  maxFindings: 16,
  /** Paths with a value or a rejection; a new path above this limit is refused and logged. */
  maxPaths: 40_000,
  /** Stored text, in bytes; an update that would exceed it is refused and logged. */
  maxTotalBytes: 67_108_864,
  /** Stored tombstones; above this limit those with the lowest revisions are dropped. */
  maxTombstones: 8_192,
  /** Buckets: groups of paths, each with one hash, by which peers find the paths that differ. */
  buckets: 256,
  /** Text of one page sent to a peer, in bytes; a page holds at least one path. */
  maxPageBytes: 262_144,
  /** Updates in one page, regardless of their size. */
  maxPageUpdates: 2_000,
  /** Peers whose last exchange is stored; at this limit the oldest is evicted. */
  maxTrackedPeers: 1_024,
  /** Concurrent pulls; further peers wait for the next tick. */
  maxPulls: 2,
  /** Consecutive pages pulled from one peer before the exchange with it ends. */
  maxConsecutivePages: 256,
  /** Hosts of each data centre that watch the settings service. */
  watchersPerDataCentre: 3,
  /** Peers whose digests a started daemon requests before it is ready. */
  startupPeers: 16,
  /** Time after which a started daemon is ready even if those peers have not responded. */
  startupTimeoutMs: 10_000,
  /** Longest time that the start waits for readiness before the listeners open. */
  startWaitMs: 3_000,
  /** Smallest gap between two ticks that counts as a pause of this process. */
  pauseThresholdMs: 5_000,
  /** Interval between two ticks of the settings agent. */
  tickMs: 250,
  /** Interval at which a watcher compares the service's revision with that of its watch. */
  probeMs: 2_000,
  /** Interval at which a watcher reads the whole tree again. */
  rereadMs: 600_000,
  /** Age of the last confirmation after which a host without a watch reads from the service. */
  staleAfterMs: 5_000,
  /** Random addition to `staleAfterMs`, so that hosts do not all read at the same time. */
  staleJitterMs: 5_000,
  /** Delay after the first failed call; each further failure doubles it. */
  retryMs: 500,
  maxRetryMs: 5_000,
  /** Largest delay before the first read of a started daemon that knows peers. */
  startJitterMs: 1_000,
  /** Burst of the rate limit on a daemon's calls to the service. */
  callBurst: 3,
  /** Sustained rate of a daemon's calls to the service. */
  callsPerSecond: 1,
  /** Time after which a service that responds, but is behind the local map, is logged. */
  behindReportDelayMs: 60_000,
  /** Timeout of one request to a peer. */
  peerTimeoutMs: 2_000,
} as const;
