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
  const first = findLargest(candidates);
  const others = candidates.filter(({ host }) => host !== first?.host);
  const second = findLargest(others.filter(({ dataCentre }) => dataCentre !== first?.dataCentre)) ??
    findLargest(others);
  return [first, second].flatMap((reader) => reader === undefined ? [] : [reader.host]);
}

/** Finds the largest host; of hosts of one size, the one whose name is first. */
function findLargest(candidates: readonly ReaderCandidate[]): ReaderCandidate | undefined {
  let largest: ReaderCandidate | undefined;
  for (const candidate of candidates) {
    const isBefore = largest === undefined || candidate.size > largest.size ||
      (candidate.size === largest.size && candidate.host < largest.host);
    largest = isBefore ? candidate : largest;
  }
  return largest;
}
