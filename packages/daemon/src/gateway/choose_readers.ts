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
  const ranked = [...candidates].sort((left, right) =>
    right.size - left.size || (left.host < right.host ? -1 : 1)
  );
  const first = ranked[0];
  const second = ranked.find(({ dataCentre }) => dataCentre !== first?.dataCentre) ?? ranked[1];
  return [first, second].flatMap((reader) => reader === undefined ? [] : [reader.host]);
}
