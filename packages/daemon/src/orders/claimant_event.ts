import type { OrderOutcome } from "./order_outcome_schema.ts";
import type { OrderReply } from "./order_reply_schema.ts";

/** Input of a claimant's state machine. */
export type ClaimantEvent =
  | { readonly type: "start" }
  /** Reply of a replica to the claim, release or record of this attempt. */
  | {
    readonly type: "reply";
    readonly to: "claim" | "release" | "record";
    readonly replica: number;
    readonly reply: OrderReply;
  }
  /** A round timed out, or every request of the round has ended without a majority. */
  | { readonly type: "timeout" }
  /** The connection was refused or not established: no byte of the call was written. */
  | { readonly type: "refused" }
  /** The call ended: with the service's response, or with a failure after the first byte. */
  | { readonly type: "dispatched"; readonly outcome: OrderOutcome };

/** Timing conditions that decide whether the claimant may still dispatch. */
export interface ClaimantTime {
  /** True once the call's deadline has passed. */
  readonly isLate: boolean;
  /** True when the claims of this round were sent too long ago, for example before a pause. */
  readonly isStale: boolean;
}
