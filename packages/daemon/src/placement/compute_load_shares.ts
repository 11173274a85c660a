/** Division of a data centre's load slots at the weight store. */
export interface LoadShares {
  /** Loads that the slot owner may grant at the same time. */
  readonly owner: number;
  /** Loads that each host may run without a grant of the owner. */
  readonly perHost: number;
}

/**
 * Divides the slots between the owner and the hosts' fixed shares, which need no grant. The sum
 * never exceeds `slots`; with fewer than two slots per host there are no fixed shares.
 */
export function computeLoadShares(slots: number, hosts: number): LoadShares {
  const perHost = Math.floor(slots / 2 / Math.max(1, hosts));
  return { owner: slots - perHost * hosts, perHost };
}
