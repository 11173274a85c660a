/** Bounds of one exploration: who takes part and how often each fault strikes. */
export interface ModelScenario {
  readonly name: string;
  readonly claimants: number;
  /** Replicas that the key names. */
  readonly replicas: number;
  readonly faults: ModelFaults;
  /** True to let acknowledgements of releases and records arrive at once; fewer schedules. */
  readonly areAcksInstant: boolean;
  /** `exhaustive` walks every schedule; a number samples that many with a seed. */
  readonly schedules: "exhaustive" | number;
}

/** Remaining strikes of each fault; any may come at any moment and together. */
export interface ModelFaults {
  /** Messages lost. */
  readonly losses: number;
  /** Messages delivered and delivered again later. */
  readonly duplicates: number;
  /** Claimants that end at once. */
  readonly claimantCrashes: number;
  /** Replicas replaced by a new incarnation. */
  readonly restarts: number;
  /** Replicas that drop the key's epoch. */
  readonly epochDrops: number;
  /** Timeouts that fire although answers are under way, as after a pause. */
  readonly earlyTimeouts: number;
  /** Claimants that wake after their deadline. */
  readonly lateWakes: number;
  /** Connections refused by the service. */
  readonly refusals: number;
  /** Calls that fail after the first byte. */
  readonly breaks: number;
  /** Replicas that hand their duty over. */
  readonly handovers: number;
}
