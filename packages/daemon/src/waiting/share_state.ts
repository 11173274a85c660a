/**
 * Tokens placed for each account and kind, by key. Bounded by `maxShares`; only the differences
 * matter.
 */
export interface ShareState {
  readonly tokens: Map<string, number>;
}
