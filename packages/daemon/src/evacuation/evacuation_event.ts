/** What a host learns of evacuations. */
export type EvacuationEvent =
  /** A watch of the store saw that the entry of a data centre was written or removed. */
  | {
    readonly type: "written" | "removed";
    readonly dataCentre: string;
    readonly era: number;
    readonly revision: number;
  }
  /** A complete read of the store that began at `revision`, with the revision of each entry. */
  | {
    readonly type: "listed";
    readonly era: number;
    readonly revision: number;
    readonly entries: ReadonlyMap<string, number>;
  }
  /** Another host's state: data centre, era, revision, whether it is evacuated. */
  | {
    readonly type: "reported";
    readonly entries: readonly (readonly [string, number, number, boolean])[];
  };
