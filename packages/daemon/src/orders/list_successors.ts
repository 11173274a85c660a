import { rankByRendezvous } from "../common/rank_by_rendezvous.ts";
import type { ReplicaCandidate } from "./choose_replicas.ts";

/**
 * Orders the hosts that may take over a duty: those of the same data centre first, because the
 * other replicas of its keys stand in other ones. Daemons with the same view get the same order.
 */
export function listSuccessors(
  duty: { readonly host: string; readonly incarnation: string },
  live: readonly ReplicaCandidate[],
): string[] {
  const dataCentres = new Map(live.map(({ host, dataCentre }) => [host, dataCentre]));
  const own = dataCentres.get(duty.host);
  const others = [...dataCentres.keys()].filter((host) => host !== duty.host);
  const ranked = rankByRendezvous(duty.incarnation, others);
  const isNear = (host: string) => own !== undefined && dataCentres.get(host) === own;
  return [...ranked.filter(isNear), ...ranked.filter((host) => !isNear(host))];
}
