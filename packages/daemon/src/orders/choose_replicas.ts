import { rankByRendezvous } from "../common/rank_by_rendezvous.ts";
import { ORDER_LIMITS } from "./constants.ts";

/** A host that can act as a replica of keys. */
export interface ReplicaCandidate {
  readonly host: string;
  readonly dataCentre: string;
}

/**
 * Chooses the replicas for the keys of a prefix: one host in each of three data centres. With fewer
 * data centres, further hosts of the same data centres are added.
 */
export function chooseReplicas<Candidate extends ReplicaCandidate>(
  seed: string,
  candidates: readonly Candidate[],
): Candidate[] {
  const byHost = new Map(candidates.map((candidate) => [candidate.host, candidate]));
  const ranked = rankByRendezvous(seed, [...byHost.keys()]).flatMap((host) => {
    const candidate = byHost.get(host);
    return candidate === undefined ? [] : [candidate];
  });
  const isFirstOfDataCentre = (candidate: Candidate) =>
    ranked.find((other) => other.dataCentre === candidate.dataCentre) === candidate;
  const firstPerDataCentre = ranked.filter(isFirstOfDataCentre);
  const remaining = ranked.filter((candidate) => !isFirstOfDataCentre(candidate));
  return [...firstPerDataCentre, ...remaining].slice(0, ORDER_LIMITS.replicas);
}
