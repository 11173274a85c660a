/** Bounds and intervals of the settings slice. */
export const SETTINGS_LIMITS = {
  /** Longest path, in UTF-16 code units; a longer one is ignored and reported. */
  maxPathLength: 512,
  /** Largest value, in bytes of UTF-8; a larger one is rejected without being kept. */
  maxValueBytes: 1_048_576,
  /** Findings kept of one rejected value; further ones are counted only. */
  maxFindings: 16,
  /** Paths with a value or a rejection; a new path beyond is refused and reported. */
  maxPaths: 40_000,
  /** Text held, in bytes; an update that would exceed it is refused and reported. */
  maxTotalBytes: 67_108_864,
  /** Tombstones held; the ones with the lowest revisions are dropped beyond. */
  maxTombstones: 8_192,
  /** Groups of paths compared by hash between peers. */
  buckets: 256,
  /** Text of one page sent to a peer, in bytes; a page holds at least one path. */
  maxPageBytes: 262_144,
  /** Updates of one page, whatever their size. */
  maxPageUpdates: 2_000,
  /** Peers whose last exchange is remembered; the oldest is forgotten beyond. */
  maxTrackedPeers: 1_024,
  /** Pulls under way at once; further peers wait for the next tick. */
  maxPulls: 2,
  /** Pages pulled from one peer in a row before other peers get a turn. */
  maxPagesInRow: 256,
  /** Hosts of each data centre that watch the settings service. */
  watchersPerDataCentre: 3,
  /** Peers asked for their digest before a started daemon is ready. */
  startupPeers: 16,
  /** Time after which a started daemon is ready even if asked peers are silent. */
  startupBoundMs: 10_000,
  /** Longest time that a start waits to become ready before the listeners open. */
  startWaitMs: 3_000,
  /** Gap between two ticks that counts as a pause of this process. */
  pauseMs: 5_000,
  /** Interval of the slice's own decisions. */
  tickMs: 250,
  /** Interval at which a watcher compares the service's revision with its watch. */
  probeMs: 2_000,
  /** Interval at which a watcher reads the whole tree again. */
  rereadMs: 600_000,
  /** Age of the last confirmation after which a host that does not watch reads for itself. */
  quietMs: 5_000,
  /** Random addition to `quietMs`, so that hosts do not read all at once. */
  quietJitterMs: 5_000,
  /** First delay after a failed call, doubled by each further failure. */
  retryMs: 500,
  maxRetryMs: 5_000,
  /** Largest delay before the first read of a started daemon that knows peers. */
  startJitterMs: 1_000,
  /** Calls to the service that a daemon may save up. */
  callBurst: 3,
  /** Calls to the service that a daemon regains each second. */
  callsPerSecond: 1,
  /** Time with an answering but older service after which operators are told. */
  behindMs: 60_000,
  /** Time for one answer of a peer. */
  peerTimeoutMs: 2_000,
} as const;
