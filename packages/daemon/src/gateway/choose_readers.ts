/** What the choice of readers depends on. */
export interface ReaderCandidate {
  readonly host: string;
  readonly dataCentre: string;
  readonly size: number;
  readonly protocolVersion: number;
}

/**
 * Chooses the two hosts that read the changes of upstreams for the fleet, the first of which reads
 * more often: the largest ones, in different data centres where there are several, so that one
 * fault rarely stops both. Hosts of protocol version 0 do not report which upstreams are cold: if
 * both are such, the largest host that does takes the place of the second.
 */
export function chooseReaders(candidates: readonly ReaderCandidate[]): string[] {
  const first = findLargest(candidates);
  const others = candidates.filter(({ host }) => host !== first?.host);
  const largest = findLargest(
    others.filter(({ dataCentre }) => dataCentre !== first?.dataCentre),
  ) ?? findLargest(others);
  const second = [first, largest].some((reader) => reader !== undefined && hasColdReports(reader))
    ? largest
    : findLargest(others.filter(hasColdReports)) ?? largest;
  return [first, second].flatMap((reader) => reader === undefined ? [] : [reader.host]);
}

function hasColdReports({ protocolVersion }: ReaderCandidate): boolean {
  return protocolVersion > 0;
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
