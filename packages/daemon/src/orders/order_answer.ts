import type { OrderOutcome } from "./order_outcome_schema.ts";

/** What an attempt ends with for its caller. */
export type OrderAnswer =
  /** The order's outcome, of this attempt or recorded by an earlier one. */
  | { readonly type: "outcome"; readonly outcome: OrderOutcome; readonly isReplay: boolean }
  /** Another claim holds the key at some replica; its holders are named. */
  | { readonly type: "contended"; readonly holders: readonly string[] }
  /** Too few replicas answered; nothing was dispatched by this attempt. */
  | { readonly type: "noMajority"; readonly detail: string }
  /** A majority has lost or dropped the key's memory: it never runs from now on. */
  | { readonly type: "expired" }
  /** The key was first used for another call; `isProven` when a majority says so. */
  | { readonly type: "mismatch"; readonly isProven: boolean };
