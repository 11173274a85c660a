/** Limits of an evacuation. Times are in milliseconds since this host learnt of it. */
export const EVACUATION_LIMITS = {
  /**
   * Time over which the moves of running generations are spread, so that their prompts and copies
   * do not all arrive at the other engines at once. A move takes up to a second, which leaves it
   * time before `lastCallMs`.
   */
  moveSpreadMs: 3_500,
  /**
   * Time after which nothing more is sent to the data centre, not even a call to copy a KV cache.
   * It leaves half a second of the five that the fleet has, for the way of the news and of the call.
   */
  lastCallMs: 4_500,
  /** Largest number of data centres that are remembered; withdrawn evacuations are dropped first. */
  maxEntries: 64,
} as const;
