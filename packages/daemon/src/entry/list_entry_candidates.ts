import type { HostSettings } from "@crocussail/protocol";
import type { EntryCandidate } from "./decide_entry.ts";

/** Options of {@link listEntryCandidates}. */
export interface EntryCandidateOptions {
  readonly hosts: ReadonlyMap<string, HostSettings>;
  /** Names of the live hosts. */
  readonly live: readonly string[];
  /** Names of those live hosts that are not suspected. */
  readonly unsuspected: readonly string[];
  /** Gets the share of its published size that a host can serve at present. */
  readonly getCapacityFactor: (host: string) => number;
}

/**
 * Lists the hosts that may be returned to callers. Omits suspected hosts, unless more than half of
 * the live hosts are suspected: in that case this daemon's view is more likely to be wrong.
 */
export function listEntryCandidates(options: EntryCandidateOptions): EntryCandidate[] {
  const isMostlySuspected = options.unsuspected.length * 2 < options.live.length;
  const names = isMostlySuspected ? options.live : options.unsuspected;
  return names.flatMap((host) => {
    const settings = options.hosts.get(host);
    return settings === undefined ? [] : [{
      host,
      dataCentre: settings.dataCentre,
      capacity: settings.size * options.getCapacityFactor(host),
    }];
  });
}
