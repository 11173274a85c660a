import { rankByRendezvous } from "../common/rank_by_rendezvous.ts";
import { ENTRY_LIMITS } from "./constants.ts";

/** A host that may be returned to callers. */
export interface EntryCandidate {
  readonly host: string;
  readonly dataCentre: string;
  /** Configured size multiplied by the capacity factor of the host's load. */
  readonly capacity: number;
}

/** Input of {@link decideEntry}. */
export interface EntryQuery {
  readonly candidates: readonly EntryCandidate[];
  /** Data centre nearest to the caller. */
  readonly dataCentre: string;
  /** Identity of the caller; a caller always gets the same hosts. */
  readonly caller: string;
}

/** One host of a response. */
export interface EntryChoice {
  readonly host: string;
  /** Share of the caller's requests in thousandths; 0 marks a backup. */
  readonly weight: number;
}

/**
 * Chooses the hosts of a caller by rendezvous hashing. Hosts of the nearest data centre come first;
 * hosts of other data centres are added until the failure of one host affects at most `maxShare` of
 * the requests. Sizes and loads determine only the shares and not the chosen hosts, so that they are
 * counted once and a change of load moves no caller to other hosts. A host that joins or is removed
 * changes only the responses that contain it.
 */
export function decideEntry(query: EntryQuery): EntryChoice[] {
  const ranked = rankCandidates(query);
  const near = ranked.filter((entry) => entry.dataCentre === query.dataCentre);
  const far = ranked.filter((entry) => entry.dataCentre !== query.dataCentre);
  const nearest = near.slice(0, ENTRY_LIMITS.primaries);
  const missing = Math.max(0, ENTRY_LIMITS.minPrimaries - nearest.length);
  const primaries = [...nearest, ...far.slice(0, missing)];
  const backups = far.slice(missing, missing + ENTRY_LIMITS.backups);
  const weights = computeWeights(primaries.map((entry) => entry.capacity));
  return [
    ...primaries.map(({ host }, index) => ({ host, weight: weights[index] ?? 0 })),
    ...backups.map(({ host }) => ({ host, weight: 0 })),
  ];
}

/**
 * Ranks the candidates for a caller. The order of the data centres depends on the caller, so that
 * requests which the nearest data centre can't take are distributed over all others.
 */
function rankCandidates(query: EntryQuery): EntryCandidate[] {
  const { candidates, caller } = query;
  const dataCentres = [...new Set(candidates.map((entry) => entry.dataCentre))];
  const order = new Map(
    rankByRendezvous(caller, dataCentres).map((dataCentre, index) => [dataCentre, index]),
  );
  const ranked = rankByRendezvous(caller, candidates.map((entry) => entry.host));
  const places = new Map(ranked.map((host, index) => [host, index]));
  const getPosition = (entry: EntryCandidate) =>
    [
      order.get(entry.dataCentre) ?? 0,
      places.get(entry.host) ?? 0,
    ] as const;
  const sorted = candidates.toSorted((left, right) => {
    const [leftCentre, leftHost] = getPosition(left);
    const [rightCentre, rightHost] = getPosition(right);
    return leftCentre - rightCentre || leftHost - rightHost;
  });
  return spreadDataCentres(sorted, query.dataCentre);
}

/**
 * Orders the hosts of other data centres round-robin by data centre, which limits the effect of
 * losing one data centre.
 */
function spreadDataCentres(ranked: readonly EntryCandidate[], nearest: string): EntryCandidate[] {
  const counts = new Map<string, number>();
  const entries = ranked.map((entry) => {
    const round = entry.dataCentre === nearest ? 0 : counts.get(entry.dataCentre) ?? 0;
    counts.set(entry.dataCentre, round + 1);
    return { entry, round };
  });
  entries.sort((left, right) => left.round - right.round);
  return entries.map(({ entry }) => entry);
}

/**
 * Computes shares in proportion to capacity. No share exceeds the limit while other hosts can take
 * the remainder.
 */
function computeWeights(capacities: readonly number[]): number[] {
  const shareLimit = Math.max(ENTRY_LIMITS.maxShare, 1 / capacities.length);
  let shares = normalizeShares(capacities);
  for (let round = 0; round < capacities.length; round++) {
    const capped = shares.map((share) => share >= shareLimit);
    const remainingShare = 1 - shareLimit * capped.filter(Boolean).length;
    const uncappedSum = shares.reduce((sum, share, index) => capped[index] ? sum : sum + share, 0);
    shares = shares.map((share, index) =>
      capped[index] ? shareLimit : share * remainingShare / uncappedSum
    );
  }
  return shares.map((share) => Math.max(1, Math.floor(share * ENTRY_LIMITS.totalWeight)));
}

function normalizeShares(values: readonly number[]): number[] {
  const sum = values.reduce((total, value) => total + value, 0);
  return values.map((value) => value / sum);
}
