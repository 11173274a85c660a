import type { OrderOutcome } from "./order_outcome_schema.ts";
import type { OrderReply } from "./order_reply_schema.ts";

/** One attempt to run an order; it never returns to `claiming` once it has left that phase. */
export interface ClaimantState {
  readonly phase: "claiming" | "dispatching" | "recording" | "releasing" | "ended";
  readonly claim: string;
  readonly digest: string;
  /** Last reply of each replica to the claim, by the replica's position in the key prefix. */
  readonly replies: readonly (OrderReply | undefined)[];
  /** Grants needed: more than half of the replicas that the key names. */
  readonly majority: number;
  /** Replicas that have acknowledged the release or record. */
  readonly acknowledged: readonly boolean[];
  /** Rounds in which claims were sent; a process that resumed after a pause starts another one. */
  readonly claimRounds: number;
  /** Number of rounds in which the current release or record was sent. */
  readonly sendRounds: number;
  /** Number of upstreams that may still be tried. */
  readonly upstreamsLeft: number;
  readonly outcome?: OrderOutcome;
  readonly isAnswered: boolean;
}
