import type { OrderRecord } from "./order_record.ts";
import type { ReplicaDuty } from "./replica_duty.ts";

/** Records of one duty by epoch and key. */
export interface DutyTable {
  /** Host that the duty's keys name. */
  readonly host: string;
  duty: Omit<ReplicaDuty, "isFull">;
  /** Last epoch that a key can name, for an adopted duty. */
  readonly lastEpoch: number;
  readonly epochs: Map<number, Map<string, OrderRecord>>;
}
