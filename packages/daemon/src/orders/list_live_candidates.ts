import type { Membership } from "../membership/mod.ts";
import type { SettingsView } from "../settings/mod.ts";
import type { ReplicaCandidate } from "./choose_replicas.ts";

/** Returns the live hosts with their data centres. */
export function listLiveCandidates(
  membership: Membership,
  settings: SettingsView,
): ReplicaCandidate[] {
  const hosts = settings.getHosts();
  return membership.listLiveHosts().flatMap((host) => {
    const dataCentre = hosts.get(host)?.dataCentre;
    return dataCentre === undefined ? [] : [{ host, dataCentre }];
  });
}
