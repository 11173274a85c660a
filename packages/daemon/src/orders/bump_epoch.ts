import { ORDER_LIMITS } from "./constants.ts";
import type { DutyTable } from "./duty_table.ts";

/** Advances a duty's epoch and drops the records of epochs that can never grant again. */
export function bumpEpoch(table: DutyTable): void {
  const epoch = table.duty.epoch + 1;
  const oldestEpoch = Math.max(table.duty.oldestEpoch, epoch - ORDER_LIMITS.retainedEpochs + 1);
  table.duty = { ...table.duty, epoch, oldestEpoch };
  for (const kept of table.epochs.keys()) {
    if (kept < oldestEpoch) {
      table.epochs.delete(kept);
    }
  }
}
