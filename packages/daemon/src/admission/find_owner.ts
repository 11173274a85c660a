import { rankByRendezvous } from "../common/rank_by_rendezvous.ts";

/** A host that membership considers live. */
export interface OwnerCandidate {
  readonly host: string;
  readonly dataCentre: string | undefined;
}

/**
 * Finds the admission owner of an upstream: the first by rendezvous hash among the live hosts of its
 * data centre, or among all live hosts when there is none.
 */
export function findOwner(
  upstream: string,
  dataCentre: string,
  hosts: readonly OwnerCandidate[],
): string | undefined {
  const sameDataCentre = hosts.filter((host) => host.dataCentre === dataCentre);
  const eligible = sameDataCentre.length > 0 ? sameDataCentre : hosts;
  return rankByRendezvous(upstream, eligible.map(({ host }) => host))[0];
}
