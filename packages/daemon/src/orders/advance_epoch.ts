import { ORDER_LIMITS } from "./constants.ts";
import type { DutyTable } from "./duty_table.ts";

/** Advances a duty's epoch by one and drops the records of epochs that are no longer retained. */
export function advanceEpoch(table: DutyTable): void {
  const epoch = table.duty.epoch + 1;
  const oldestEpoch = Math.max(table.duty.oldestEpoch, epoch - ORDER_LIMITS.retainedEpochs + 1);
  table.duty = { ...table.duty, epoch, oldestEpoch };
  for (const storedEpoch of table.epochs.keys()) {
    if (storedEpoch < oldestEpoch) {
      table.epochs.delete(storedEpoch);
    }
  }
}
