/** Faults between two members at a time of the model; indexes are those of the members. */
export interface FleetModelFault {
  /** Share of messages lost. */
  readonly loss?: number;
  /** Tells whether a message from one member to another is lost. */
  readonly isCut?: (from: number, to: number) => boolean;
  /** Members that run nothing and receive late what is sent to them. */
  readonly paused?: ReadonlySet<number>;
}
