import type { OrderOutcome } from "./order_outcome_schema.ts";
import type { OrderReply } from "./order_reply_schema.ts";

/** One attempt to run an order; `claiming` is left for good once. */
export interface ClaimantState {
  readonly phase: "claiming" | "dispatching" | "recording" | "releasing" | "ended";
  readonly claim: string;
  readonly digest: string;
  /** Last answer of each replica to the claim, by its position in the key prefix. */
  readonly replies: readonly (OrderReply | undefined)[];
  /** Grants needed: more than half of the replicas that the key names. */
  readonly majority: number;
  /** Replicas that have acknowledged the release or record. */
  readonly acknowledged: readonly boolean[];
  /** Rounds of claims that were sent; a late waker asks again. */
  readonly claimRounds: number;
  /** Rounds of the current release or record that were sent. */
  readonly sends: number;
  /** Upstreams that may still be tried. */
  readonly upstreamsLeft: number;
  readonly outcome?: OrderOutcome;
  readonly isAnswered: boolean;
}
