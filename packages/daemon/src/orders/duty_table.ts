import type { OrderRecord } from "./order_record.ts";
import type { ReplicaDuty } from "./replica_duty.ts";

/** Records of one duty by epoch and key. */
export interface DutyTable {
  /** Host to which the prefixes of the duty's keys assign them. */
  readonly host: string;
  duty: Omit<ReplicaDuty, "isFull">;
  /** Last epoch for which keys of the duty were issued; infinite for the local duty. */
  readonly lastEpoch: number;
  readonly epochs: Map<number, Map<string, OrderRecord>>;
}
