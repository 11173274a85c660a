import { decideEntry } from "@crocussail/daemon/entry";
import type { EntryCandidate, EntryChoice } from "@crocussail/daemon/entry";
import type { BenchSection } from "./bench_section.ts";

const FLEETS = [
  { hosts: 6, dataCentres: 3 },
  { hosts: 8, dataCentres: 4 },
  { hosts: 400, dataCentres: 8 },
];
const CALLERS = 6_000;
const TOTAL_WEIGHT = 1_000;
/** Largest share of a caller's requests that may depend on one host where there are four hosts. */
const MAX_ANSWER_SHARE = 0.3;

/** Measures the shares of hosts of capacity 1, 2 and 4, and the share moved by a host's removal. */
export function measureEntry(): BenchSection {
  const rows = FLEETS.map(measureFleet);
  const missed = rows
    .filter((row) => row.largestShareInAnswer > MAX_ANSWER_SHARE)
    .map((row) => `share of ${row.largestShareInAnswer} in an answer of ${row.hosts} hosts`);
  return { name: "entry", rows, missed };
}

function measureFleet({ hosts, dataCentres }: { hosts: number; dataCentres: number }) {
  const candidates = Array.from({ length: hosts }, (_, index): EntryCandidate => ({
    host: `host-${index}`,
    dataCentre: `dc-${index % dataCentres}`,
    capacity: 2 ** (index % 3),
  }));
  const before = collectAnswers(candidates, dataCentres);
  const removedHost = candidates[0]?.host;
  const after = collectAnswers(candidates.filter(({ host }) => host !== removedHost), dataCentres);
  const shares = tallyShares(before);
  const totalCapacity = candidates.reduce((sum, { capacity }) => sum + capacity, 0);
  const relativeShares = candidates
    .map(({ host, capacity }) => (shares.get(host) ?? 0) / (capacity / totalCapacity));
  return {
    hosts,
    dataCentres,
    largestShareInAnswer: Math.max(...before.flat().map(({ weight }) => weight)) / TOTAL_WEIGHT,
    largestShareOfAll: computeRounded(Math.max(...shares.values())),
    largestAgainstSize: computeRounded(Math.max(...relativeShares)),
    smallestAgainstSize: computeRounded(Math.min(...relativeShares)),
    answersChangedByALoss: computeRounded(countChanged(before, after) / before.length),
    shareMovedByALoss: computeRounded(countMoved(before, after)),
  };
}

function collectAnswers(
  candidates: readonly EntryCandidate[],
  dataCentres: number,
): EntryChoice[][] {
  return Array.from({ length: CALLERS }, (_, index) =>
    decideEntry({
      candidates,
      dataCentre: `dc-${index % dataCentres}`,
      caller: `team-${index % 1_500}\0caller-${index}`,
    }));
}

function tallyShares(answers: readonly EntryChoice[][]): Map<string, number> {
  const shares = new Map<string, number>();
  for (const { host, weight } of answers.flat()) {
    shares.set(host, (shares.get(host) ?? 0) + weight / TOTAL_WEIGHT / answers.length);
  }
  return shares;
}

function countChanged(before: readonly EntryChoice[][], after: readonly EntryChoice[][]): number {
  return before.filter((answer, index) => JSON.stringify(answer) !== JSON.stringify(after[index]))
    .length;
}

/** Mean share that moves to another host. */
function countMoved(before: readonly EntryChoice[][], after: readonly EntryChoice[][]): number {
  const moved = before.map((answer, index) => {
    const next = new Map((after[index] ?? []).map(({ host, weight }) => [host, weight]));
    return answer.reduce(
      (sum, { host, weight }) => sum + Math.max(0, weight - (next.get(host) ?? 0)),
      0,
    );
  });
  return moved.reduce((sum, share) => sum + share, 0) / before.length / TOTAL_WEIGHT;
}

function computeRounded(value: number): number {
  return Number(value.toFixed(4));
}
