import type { OrderOutcome } from "./order_outcome_schema.ts";

/** Result of an attempt, as its caller receives it. */
export type OrderAnswer =
  /** The order's outcome, from this attempt or recorded by an earlier one. */
  | { readonly type: "outcome"; readonly outcome: OrderOutcome; readonly isReplay: boolean }
  /** Other claims, listed in `holders`, hold the key at one or more replicas. */
  | { readonly type: "contended"; readonly holders: readonly string[] }
  /** Too few replicas replied; this attempt dispatched nothing. */
  | { readonly type: "noMajority"; readonly detail: string }
  /** A majority has lost or dropped the key's records: the key never runs from now on. */
  | { readonly type: "expired" }
  /** The key was first used for another call; `isProven` when a majority of replicas reports it. */
  | { readonly type: "mismatch"; readonly isProven: boolean };
