/** An upstream as an entry daemon knows it without its owner. */
export interface LocalCandidate {
  readonly upstream: string;
  /** Grants that this entry daemon gave to itself. */
  readonly selfGranted: number;
  /** Grants of this upstream on this entry daemon. */
  readonly inFlight: number;
}

/**
 * Chooses an upstream without its owner: the less loaded of two drawn at random among those whose
 * local share is not used up. Undefined when every share is used up.
 */
export function chooseLocal(
  candidates: readonly LocalCandidate[],
  localShare: number,
  nextInteger: (bound: number) => number,
): string | undefined {
  const open = candidates.filter((candidate) => candidate.selfGranted < localShare);
  if (open.length === 0) {
    return undefined;
  }
  const first = open[nextInteger(open.length)] as LocalCandidate;
  const second = open[nextInteger(open.length)] as LocalCandidate;
  return second.inFlight < first.inFlight ? second.upstream : first.upstream;
}
