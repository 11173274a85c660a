/** Limits of entry responses and load notices. */
export const ENTRY_LIMITS = {
  /** Largest number of addresses with a share (the primaries) in a response. */
  primaries: 8,
  /** Smallest number of primaries; hosts of other data centres are added up to it. */
  minPrimaries: 4,
  /** Additional addresses without a share, which callers use when the others fail. */
  backups: 4,
  /** Sum of the shares in a response. */
  totalWeight: 1_000,
  /** Largest share of a host if there are enough hosts. */
  maxShare: 0.3,
  /** Time to wait for a trusted view before a request is refused, in milliseconds. */
  freshWaitMs: 1_500,
  /** Interval at which the view is checked during this wait, in milliseconds. */
  freshCheckMs: 50,
  /** Largest length of `team` and `data_centre` in a request. */
  maxNameCharacters: 255,
  /** Interval of load samples, in milliseconds. */
  loadSampleMs: 5_000,
  /** Lifetime of a load notice, in milliseconds. */
  loadNoticeTtlMs: 60_000,
  /** Largest number of stored load reports; when it is reached, the oldest is evicted. */
  maxLoadReports: 4_096,
  /** Largest number of hosts in the dumped state. */
  maxDumpedHosts: 32,
} as const;
