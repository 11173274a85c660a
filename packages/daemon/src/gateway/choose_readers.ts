import { rankByRendezvous } from "../common/rank_by_rendezvous.ts";

/** What the choice of readers depends on. */
export interface ReaderCandidate {
  readonly host: string;
  readonly dataCentre: string;
  readonly size: number;
}

/**
 * Chooses the two hosts that read the changes of upstreams for the fleet, the first of which reads
 * more often: the largest ones, in different data centres where there are several, so that one
 * fault rarely stops both.
 */
export function chooseReaders(candidates: readonly ReaderCandidate[]): string[] {
  const byHost = new Map(candidates.map((candidate) => [candidate.host, candidate]));
  const ranked = rankByRendezvous("upstreams", [...byHost.keys()])
    .flatMap((host) => byHost.get(host) ?? [])
    .sort((left, right) => right.size - left.size);
  const first = ranked[0];
  const second = ranked.find(({ dataCentre }) => dataCentre !== first?.dataCentre) ?? ranked[1];
  return [first, second].flatMap((reader) => reader === undefined ? [] : [reader.host]);
}
