import type { OrderOutcome } from "./order_outcome_schema.ts";

/** What a replica remembers of one key until it drops the key's epoch. */
export interface OrderRecord {
  /** Digest of the first call that used the key; never changed. */
  readonly digest: string;
  /** Claim that holds the grant; empty when released. */
  readonly holder: string;
  /** Released claims, which are never granted again. */
  readonly withdrawn: readonly string[];
  readonly outcome?: OrderOutcome;
}
