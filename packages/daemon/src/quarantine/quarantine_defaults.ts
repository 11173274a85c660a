/** Limits of the quarantine. */
export const QUARANTINE_DEFAULTS = Object.freeze({
  /** Deaths of one upstream within this time are one crash. */
  crashWindowMs: 5_000,
  /** Time for which the reports of one crash are collected before they go round the fleet. */
  settleMs: 500,
  /** Crashes remembered; at the bound the oldest is forgotten. */
  maxCrashes: 128,
  /** Suspects of one crash; at the bound later ones are dropped, early ones go first. */
  maxSuspects: 64,
  /** Time for which a crash counts as evidence. */
  evidenceMs: 600_000,
  /** Time for which a request stays quarantined. */
  quarantineMs: 600_000,
  /** Quarantined requests; at the bound the one that expires first is dropped. */
  maxQuarantined: 512,
  /** Generations that died with at most this many tokens were in their first steps. */
  earlyTokens: 8,
  /** Crashes of different upstreams that a request must have taken part in. */
  minCrashes: 2,
  /** Sum of blame over the crashes above which a request that always died early is guilty. */
  minBlame: 1.5,
  /** Crashes of this many upstreams within this time of each other are no request's doing. */
  massWindowMs: 10_000,
  massUpstreams: 4,
});

/** Limits of the quarantine by name. */
export type QuarantineSettings = Readonly<Record<keyof typeof QUARANTINE_DEFAULTS, number>>;
