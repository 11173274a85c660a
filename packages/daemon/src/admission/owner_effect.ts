/** Reason for which an owner refuses a request. */
export type RefusalReason = "late" | "full" | "leaving" | "tooLarge";

/** Effect of an owner's decision, to be sent to the entry daemon. */
export type OwnerEffect =
  | { readonly type: "grant"; readonly id: string }
  | {
    readonly type: "place";
    readonly id: string;
    /** Number of entries before this one. */
    readonly position: number;
    readonly expectedWaitMs: number;
  }
  | {
    readonly type: "refuse";
    readonly id: string;
    readonly reason: RefusalReason;
    readonly retryAfterMs: number;
  };
