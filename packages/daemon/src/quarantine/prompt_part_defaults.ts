/** Default limits of the quarantine of prompt parts. */
export const PROMPT_PART_DEFAULTS = Object.freeze({
  /** Crashes without a sound execution after which a part is quarantined. */
  minCrashes: 3,
  /** The same number for a part that was executed soundly within `soundMs` before the first one. */
  minCrashesOfSoundPart: 6,
  /** Time for which a sound execution makes a crash of the part unlikely. */
  soundMs: 60_000,
  /** Losses of different upstreams within this time count as one crash. */
  simultaneousMs: 100,
  /** With the losses of so many upstreams within that time, none counts: their cause is outside. */
  massUpstreams: 3,
  /** Time in which a host collects the requests that it lost with one upstream. */
  collectMs: 20,
  /** Time after which a crash counts: all hosts have reported what they lost, also after a loss. */
  settleMs: 300,
  /** Maximum random delay of an announcement, so that one host's makes the others' unnecessary. */
  announceSpreadMs: 100,
  /** Maximum random delay in which a quarantined part is told to a host that has joined. */
  renewSpreadMs: 500,
  /** A sound execution is announced again if it is newer than the announced one by this time. */
  announceStepMs: 1_000,
  /** Time for which a crash counts as evidence. */
  evidenceMs: 600_000,
  /** Time for which a part stays quarantined. */
  quarantineMs: 600_000,
  /** Maximum stored crashes; above it, the oldest is evicted. */
  maxCrashes: 128,
  /** Maximum parts of one crash; further ones are dropped, recently sound ones first. */
  maxPartsOfCrash: 24,
  /** Maximum parts with a stored sound execution; above it, the oldest is evicted. */
  maxSoundParts: 4_096,
  /** Maximum quarantined parts; above it, the one that was quarantined first is evicted. */
  maxQuarantined: 256,
});

/** Limits of the quarantine of prompt parts by name. */
export type PromptPartLimits = Readonly<Record<keyof typeof PROMPT_PART_DEFAULTS, number>>;
