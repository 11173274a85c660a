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
} as const;
