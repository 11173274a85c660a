import type { DutyTable } from "./duty_table.ts";
import type { OrderMessage } from "./order_message_schema.ts";
import type { OrderReply } from "./order_reply_schema.ts";

/** Every duty of this process, with one bound over all of them. */
export interface OrderTables {
  /** Applies one message of a claimant to the duty that it names. */
  applyMessage(message: OrderMessage): OrderReply;
  /** Duties by incarnation; the first is the own one. */
  readonly duties: ReadonlyMap<string, DutyTable>;
  /** Adds an adopted duty; false at the bound of duties or records. */
  addDuty(table: DutyTable): boolean;
  /** Advances the epoch of every duty, and drops adopted duties whose keys have expired. */
  bumpEpochs(): void;
  countRecords(): number;
  countOutcomeBytes(): number;
}
