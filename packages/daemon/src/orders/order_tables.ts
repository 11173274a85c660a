import type { DutyTable } from "./duty_table.ts";
import type { OrderMessage } from "./order_message_schema.ts";
import type { OrderReply } from "./order_reply_schema.ts";

/** Records of all duties of this process, with common limits. */
export interface OrderTables {
  /** Applies one message from a claimant to the duty with its incarnation. */
  applyMessage(message: OrderMessage): OrderReply;
  /** Duties by incarnation; the first is the local one. */
  readonly duties: ReadonlyMap<string, DutyTable>;
  /** Adds an adopted duty; returns false at the limit of duties or records. */
  addDuty(table: DutyTable): boolean;
  /** Advances the epoch of every duty, and drops adopted duties whose keys have expired. */
  advanceEpochs(): void;
  countRecords(): number;
  countOutcomeBytes(): number;
}
