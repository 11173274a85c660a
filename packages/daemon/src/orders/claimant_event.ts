import type { OrderOutcome } from "./order_outcome_schema.ts";
import type { OrderReply } from "./order_reply_schema.ts";

/** What a claimant reacts to. */
export type ClaimantEvent =
  | { readonly type: "start" }
  /** Answer of a replica to the claim, release or record of this attempt. */
  | {
    readonly type: "reply";
    readonly to: "claim" | "release" | "record";
    readonly replica: number;
    readonly reply: OrderReply;
  }
  /** A round has lasted too long, or every outstanding answer has failed. */
  | { readonly type: "timeout" }
  /** The connection was refused or never made: no byte of the call was written. */
  | { readonly type: "refused" }
  /** The call's end: the service's answer, or a failure after the first byte. */
  | { readonly type: "dispatched"; readonly outcome: OrderOutcome };

/** Whether the claimant may still dispatch when it is asked. */
export interface ClaimantTime {
  /** True once the call's deadline has passed. */
  readonly isLate: boolean;
  /** True when the claims of this round were sent too long ago, as after a pause. */
  readonly isStale: boolean;
}
