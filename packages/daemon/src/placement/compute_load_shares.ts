/** Division of a data centre's slots at the weight store. */
export interface LoadShares {
  /** Loads that the slot owner may have out at once. */
  readonly owner: number;
  /** Loads that each host may run without the owner. */
  readonly perHost: number;
}

/**
 * Divides the slots between the owner and the hosts' fixed shares, which need no owner. The sum
 * never exceeds `slots`; with fewer than two slots a host there are no fixed shares.
 */
export function computeLoadShares(slots: number, hosts: number): LoadShares {
  const perHost = Math.floor(slots / 2 / Math.max(1, hosts));
  return { owner: slots - perHost * hosts, perHost };
}
