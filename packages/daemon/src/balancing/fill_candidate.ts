/** A candidate as {@link computeFillShares} sees it; costs have any unit, the same for all. */
export interface FillCandidate {
  /** Cost of placing a request there now; infinite if it must not be chosen. */
  readonly cost: number;
  /** Cost that each request placed there adds to that of the next one. */
  readonly addedCost: number;
  /** Number of requests that it has room for. */
  readonly room: number;
}
