/** Limits of entry answers. */
export const ENTRY_LIMITS = {
  /** Addresses with a share in one answer. */
  primaries: 8,
  /** Hosts among which a caller's requests are spread at least, other data centres included. */
  minPrimaries: 4,
  /** Further addresses without a share, to turn to when the others fail. */
  backups: 4,
  /** Sum of the shares of one answer. */
  totalWeight: 1_000,
  /** Largest share of one host, where there are enough hosts. */
  maxShare: 0.3,
  /** Time to wait for a trusted view before an answer is refused, in milliseconds. */
  freshWaitMs: 1_500,
  /** Period at which the trust is checked while waiting, in milliseconds. */
  freshCheckMs: 50,
  /** Characters of `team` and `data_centre` in a question. */
  maxNameCharacters: 255,
  /** Period of load samples, in milliseconds. */
  loadSampleMs: 5_000,
  /** Lifetime of a notice of load, in milliseconds. */
  loadNoticeTtlMs: 60_000,
  /** Load reports remembered; the oldest is dropped at the bound. */
  maxLoadReports: 4_096,
  /** Hosts shown in the state. */
  maxDumpedHosts: 32,
} as const;
