import { rankByRendezvous } from "../common/rank_by_rendezvous.ts";
import { ENTRY_LIMITS } from "./constants.ts";

/** A host that may be named. */
export interface EntryCandidate {
  readonly host: string;
  readonly dataCentre: string;
  /** Stated size times the part of it that its load leaves. */
  readonly capacity: number;
}

/** Question of a caller. */
export interface EntryQuestion {
  readonly candidates: readonly EntryCandidate[];
  /** Data centre nearest to the caller. */
  readonly dataCentre: string;
  /** Identity of the caller; the same caller gets the same hosts. */
  readonly caller: string;
}

/** One address of an answer, by host. */
export interface EntryChoice {
  readonly host: string;
  /** Share of the caller's requests in thousandths; 0 marks a backup. */
  readonly weight: number;
}

/**
 * Chooses the hosts of one caller by rendezvous hashing: hosts of the nearest data centre first,
 * filled up from the next ones until one failure costs at most `maxShare` of the requests. Sizes and
 * loads set the shares, not the choice, so that they count once and a change of load moves no
 * caller. A host that comes or goes changes only the answers in which it ranks.
 */
export function decideEntry(question: EntryQuestion): EntryChoice[] {
  const ranked = rankCandidates(question);
  const near = ranked.filter((entry) => entry.dataCentre === question.dataCentre);
  const far = ranked.filter((entry) => entry.dataCentre !== question.dataCentre);
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

/** Other data centres follow in an order of the caller's own, so that overflow spreads over them. */
function rankCandidates(question: EntryQuestion): EntryCandidate[] {
  const { candidates, caller } = question;
  const dataCentres = [...new Set(candidates.map((entry) => entry.dataCentre))];
  const order = new Map(
    rankByRendezvous(caller, dataCentres).map((dataCentre, index) => [dataCentre, index]),
  );
  const ranked = rankByRendezvous(caller, candidates.map((entry) => entry.host));
  const places = new Map(ranked.map((host, index) => [host, index]));
  const getPlace = (entry: EntryCandidate) =>
    [
      order.get(entry.dataCentre) ?? 0,
      places.get(entry.host) ?? 0,
    ] as const;
  const sorted = candidates.toSorted((left, right) => {
    const [leftCentre, leftHost] = getPlace(left);
    const [rightCentre, rightHost] = getPlace(right);
    return leftCentre - rightCentre || leftHost - rightHost;
  });
  return spreadDataCentres(sorted, question.dataCentre);
}

/** Takes one host of each other data centre in turn, so that one data centre's loss is bounded. */
function spreadDataCentres(ranked: readonly EntryCandidate[], nearest: string): EntryCandidate[] {
  const seen = new Map<string, number>();
  const turns = ranked.map((entry) => {
    const turn = entry.dataCentre === nearest ? 0 : seen.get(entry.dataCentre) ?? 0;
    seen.set(entry.dataCentre, turn + 1);
    return { entry, turn };
  });
  turns.sort((left, right) => left.turn - right.turn);
  return turns.map(({ entry }) => entry);
}

/** Shares in proportion to capacity, none above the bound while others can take the rest. */
function computeWeights(capacities: readonly number[]): number[] {
  const bound = Math.max(ENTRY_LIMITS.maxShare, 1 / capacities.length);
  let shares = normalizeShares(capacities);
  for (let round = 0; round < capacities.length; round++) {
    const capped = shares.map((share) => share >= bound);
    const rest = 1 - bound * capped.filter(Boolean).length;
    const open = shares.reduce((sum, share, index) => capped[index] ? sum : sum + share, 0);
    shares = shares.map((share, index) => capped[index] ? bound : share * rest / open);
  }
  return shares.map((share) => Math.max(1, Math.floor(share * ENTRY_LIMITS.totalWeight)));
}

function normalizeShares(values: readonly number[]): number[] {
  const sum = values.reduce((total, value) => total + value, 0);
  return values.map((value) => value / sum);
}
