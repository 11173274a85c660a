import { ORDER_LIMITS } from "./constants.ts";
import type { DutyTable } from "./duty_table.ts";
import type { OrderRecord } from "./order_record.ts";

/** One record of a handover. */
export interface TransferRecord {
  readonly epoch: number;
  readonly key: string;
  readonly record: OrderRecord;
}

/** Splits the records of a duty into frames that fit into a peer message; at least one frame. */
export function listTransferFrames(table: DutyTable): TransferRecord[][] {
  let frame: TransferRecord[] = [];
  let bytes = 0;
  const frames = [frame];
  for (const [epoch, records] of table.epochs) {
    for (const [key, record] of records) {
      const size = record.outcome?.type === "completed" ? record.outcome.body.byteLength : 0;
      const isFrameFull = frame.length >= ORDER_LIMITS.transferRecords ||
        bytes + size > ORDER_LIMITS.transferBytes;
      if (isFrameFull && frame.length > 0) {
        frame = [];
        bytes = 0;
        frames.push(frame);
      }
      frame.push({ epoch, key, record });
      bytes += size;
    }
  }
  return frames;
}
