/** Bounds of one exploration: its participants and how often each fault may occur. */
export interface ModelScenario {
  readonly name: string;
  readonly claimants: number;
  /** Replicas that the key names. */
  readonly replicas: number;
  readonly faults: ModelFaults;
  /** True to deliver acknowledgements of releases and records at once; fewer schedules. */
  readonly areAcksInstant: boolean;
  /** `exhaustive` explores every schedule; a number samples that many with a seed. */
  readonly schedules: "exhaustive" | number;
}

/** How often each fault may still occur; faults may occur at any step and be combined. */
export interface ModelFaults {
  /** Messages lost. */
  readonly losses: number;
  /** Messages delivered twice, the second time later. */
  readonly duplicates: number;
  /** Claimants that crash. */
  readonly claimantCrashes: number;
  /** Replicas replaced by a new incarnation. */
  readonly restarts: number;
  /** Replicas that drop the key's epoch. */
  readonly epochDrops: number;
  /** Timeouts that fire while replies are in flight, as after a pause. */
  readonly earlyTimeouts: number;
  /** Claimants that resume after their deadline. */
  readonly lateResumes: number;
  /** Connections refused by the service. */
  readonly refusals: number;
  /** Calls whose connection closes after the first byte. */
  readonly brokenConnections: number;
  /** Replicas that hand over their duty. */
  readonly handovers: number;
}
