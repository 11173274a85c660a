import type { HostSettings } from "@crocussail/protocol";
import type { EntryCandidate } from "./decide_entry.ts";

/** Options of {@link listEntryCandidates}. */
export interface EntryView {
  readonly hosts: ReadonlyMap<string, HostSettings>;
  readonly live: readonly string[];
  /** Live hosts that are not suspected. */
  readonly unsuspected: readonly string[];
  readonly getCapacityFactor: (host: string) => number;
}

/**
 * Lists the hosts that may be returned to callers. Suspected hosts are left out unless they are most
 * of the live hosts: in that case this daemon's view is more likely to be wrong.
 */
export function listEntryCandidates(view: EntryView): EntryCandidate[] {
  const isMostlySuspected = view.unsuspected.length * 2 < view.live.length;
  const names = isMostlySuspected ? view.live : view.unsuspected;
  return names.flatMap((host) => {
    const settings = view.hosts.get(host);
    return settings === undefined ? [] : [{
      host,
      dataCentre: settings.dataCentre,
      capacity: settings.size * view.getCapacityFactor(host),
    }];
  });
}
