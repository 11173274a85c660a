/** Why an owner refuses. */
export type RefusalReason = "late" | "full" | "leaving" | "tooLarge";

/** What an owner wants done. */
export type OwnerEffect =
  | { readonly type: "grant"; readonly id: string }
  | {
    readonly type: "place";
    readonly id: string;
    /** Entries before this one. */
    readonly position: number;
    readonly expectedWaitMs: number;
  }
  | {
    readonly type: "refuse";
    readonly id: string;
    readonly reason: RefusalReason;
    readonly retryAfterMs: number;
  };
