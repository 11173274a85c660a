import type { HostSettings } from "@crocussail/protocol";
import type { EntryCandidate } from "./decide_entry.ts";

/** Options of {@link listEntryCandidates}. */
export interface EntryView {
  readonly hosts: ReadonlyMap<string, HostSettings>;
  readonly live: readonly string[];
  /** Live hosts that nobody suspects. */
  readonly undoubted: readonly string[];
  readonly getFactor: (host: string) => number;
}

/**
 * Lists the hosts that may be named. Suspected ones are left out unless that is most of the fleet:
 * then the view is more likely wrong than they are.
 */
export function listEntryCandidates(view: EntryView): EntryCandidate[] {
  const isMostlyDoubted = view.undoubted.length * 2 < view.live.length;
  const names = isMostlyDoubted ? view.live : view.undoubted;
  return names.flatMap((host) => {
    const settings = view.hosts.get(host);
    return settings === undefined ? [] : [{
      host,
      dataCentre: settings.dataCentre,
      capacity: settings.size * view.getFactor(host),
    }];
  });
}
