/** Faults that are active in the model at a time; numbers are indexes of members. */
export interface FleetModelFault {
  /** Share of messages lost. */
  readonly loss?: number;
  /** Tells whether a message from one member to another is lost. */
  readonly isCut?: (from: number, to: number) => boolean;
  /** Members whose process is paused: they run nothing and receive messages after the pause. */
  readonly paused?: ReadonlySet<number>;
}
