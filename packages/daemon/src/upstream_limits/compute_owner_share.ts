/** What a host knows of the fleet, itself included. */
export interface FleetCounts {
  /** Hosts that are live. */
  readonly live: number;
  /** Hosts that were live within the last minute and have not said that they leave. */
  readonly recent: number;
}

/**
 * Computes the share of a limit that its owner grants. Hosts that are cut off from each other may
 * each have an owner: the part with more than half of the hosts uses the whole limit, any other its
 * share of the hosts, so that all together stay below one and a half times the limit.
 */
export function computeOwnerShare({ live, recent }: FleetCounts): number {
  return 2 * live > recent ? 1 : live / recent;
}
