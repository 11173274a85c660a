import { rankByRendezvous } from "../common/rank_by_rendezvous.ts";
import { ORDER_LIMITS } from "./constants.ts";

/** A host that may guard keys. */
export interface ReplicaCandidate {
  readonly host: string;
  readonly dataCentre: string;
}

/**
 * Chooses the hosts that guard the keys of a prefix: one in each of three data centres, and further
 * hosts of the same data centres where there are fewer.
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
  const isFirstOfCentre = (candidate: Candidate) =>
    ranked.find((other) => other.dataCentre === candidate.dataCentre) === candidate;
  const spread = ranked.filter(isFirstOfCentre);
  const rest = ranked.filter((candidate) => !isFirstOfCentre(candidate));
  return [...spread, ...rest].slice(0, ORDER_LIMITS.replicas);
}
