/** An upstream as an entry daemon knows it while the owner does not reply. */
export interface LocalCandidate {
  readonly upstream: string;
  /** Number of grants that this entry daemon gave itself. */
  readonly selfGrantedCount: number;
  /** Number of all grants on this upstream that this entry daemon holds. */
  readonly inFlight: number;
}

/**
 * Chooses an upstream without its owner: the less loaded of two random candidates that have fewer
 * than `maxSelfGrants` self-granted grants. Returns undefined when there is no such candidate.
 */
export function chooseLocal(
  candidates: readonly LocalCandidate[],
  maxSelfGrants: number,
  nextInteger: (bound: number) => number,
): string | undefined {
  const available = candidates.filter((candidate) => candidate.selfGrantedCount < maxSelfGrants);
  if (available.length === 0) {
    return undefined;
  }
  const first = available[nextInteger(available.length)] as LocalCandidate;
  const second = available[nextInteger(available.length)] as LocalCandidate;
  return second.inFlight < first.inFlight ? second.upstream : first.upstream;
}
