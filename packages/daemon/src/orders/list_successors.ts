import { rankByRendezvous } from "../common/rank_by_rendezvous.ts";
import type { ReplicaCandidate } from "./choose_replicas.ts";

/**
 * Orders the hosts that may take over a duty: those of the same data centre first, because the
 * other replicas of its keys are in other data centres. Daemons with the same membership view get
 * the same order.
 */
export function listSuccessors(
  duty: { readonly host: string; readonly incarnation: string },
  live: readonly ReplicaCandidate[],
): string[] {
  const dataCentres = new Map(live.map(({ host, dataCentre }) => [host, dataCentre]));
  const dutyDataCentre = dataCentres.get(duty.host);
  const others = [...dataCentres.keys()].filter((host) => host !== duty.host);
  const ranked = rankByRendezvous(duty.incarnation, others);
  const isInDutyDataCentre = (host: string) =>
    dutyDataCentre !== undefined && dataCentres.get(host) === dutyDataCentre;
  return [
    ...ranked.filter(isInDutyDataCentre),
    ...ranked.filter((host) => !isInDutyDataCentre(host)),
  ];
}
