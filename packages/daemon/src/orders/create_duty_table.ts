import type { DutyTable } from "./duty_table.ts";

/** Creates the empty table of the local duty, or of an adopted one that ended in `lastEpoch`. */
export function createDutyTable(
  host: string,
  incarnation: string,
  lastEpoch = Infinity,
): DutyTable {
  const epoch = Number.isFinite(lastEpoch) ? lastEpoch : 0;
  return {
    host,
    duty: { incarnation, epoch, oldestEpoch: 0, isFrozen: false },
    lastEpoch,
    epochs: new Map(),
  };
}
