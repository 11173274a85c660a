/** Targets of the relay. */
export const RELAY_TARGETS = Object.freeze({
  minTokensPerSecond: 15_000,
  /** Added to the median time to the first token at half load. */
  maxAddedFirstTokenMs: 1,
  maxStreamBytes: 32 * 1_024,
});
