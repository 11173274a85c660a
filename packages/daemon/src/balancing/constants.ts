/** Figures of placing requests. */
export const BALANCING_LIMITS = {
  /** Share of an engine's memory that is planned for; the rest takes wrong guesses of length. */
  plannedMemoryShare: 0.92,
  /** Share of an engine's memory up to which copies of other engines' generations are put there. */
  copyMemoryShare: 0.7,
  /** Reading rate taken while nothing is known of any engine, in tokens a millisecond. */
  initialTokensPerMs: 5,
  /** Time between tokens taken while nothing is known of any engine, in milliseconds. */
  initialTokenMs: 10,
  /** Weight of a new observation of an engine's reading rate or of an upstream's failures. */
  observationWeight: 0.2,
  /** Share of the time left to a route's target that the first token may take by estimate. */
  firstTokenShare: 0.9,
  /** Longest time that prompts before a new one may take to be read, in milliseconds. */
  maxReadingMs: 1_000,
  /** Cost of a full memory against reading time, in milliseconds: a wrong guess costs more there. */
  fullMemoryCostMs: 800,
  /** Weight of the time that the generation itself takes, against the wait for its first token. */
  runTimeWeight: 0.5,
  /** Weight of the time by which reading its prompt delays each generation that runs there. */
  delayWeight: 0.3,
  /** Factor on the cost of an upstream that fails all its requests. */
  failureCost: 12,
  /** Guess of the rest of a generation that outlived its expected length, as a share of its length. */
  overrunShare: 0.35,
  /** Share of a generation's expected rest that is planned for; generations end at different times. */
  plannedRestShare: 0.6,
  /**
   * Costs above the least one, as a share of it, among which an engine is drawn at 80 hosts: several
   * that choose within the 10 ms before they hear of each other must not all take the same one. At 8
   * hosts the least cost alone served more at one and a half times the load (`bench:engines`).
   */
  nearCostShare: 0.2,
  /** Fleets up to this size take the least cost. */
  leastCostHosts: 20,
  /** Fleet size at which the whole share is reached. */
  nearCostHosts: 80,
  /** Factor on an upstream's rate while it is slow after its start. */
  slowStartFactor: 0.5,
} as const;
