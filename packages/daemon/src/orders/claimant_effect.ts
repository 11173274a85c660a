import type { OrderAnswer } from "./order_answer.ts";
import type { OrderOutcome } from "./order_outcome_schema.ts";

/** Action that a claimant requests from its caller. */
export type ClaimantEffect =
  | {
    readonly type: "send";
    readonly message: "claim" | "release" | "record";
    readonly replica: number;
    /** Outcome of a `record`. */
    readonly outcome?: OrderOutcome;
  }
  /** Send the call on a fresh connection to the next upstream. */
  | { readonly type: "dispatch" }
  /** Answer the caller; emitted once for each attempt. */
  | { readonly type: "answer"; readonly answer: OrderAnswer };
