import type { OrderOutcome } from "./order_outcome_schema.ts";

/** A replica's record of one key; stored until the key's epoch is dropped. */
export interface OrderRecord {
  /** Digest of the first call that used the key; immutable. */
  readonly digest: string;
  /** Claim that holds the grant; empty after a release. */
  readonly holder: string;
  /** Released claims, which are never granted again. */
  readonly withdrawn: readonly string[];
  readonly outcome?: OrderOutcome;
}
