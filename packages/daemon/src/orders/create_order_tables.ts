import { advanceEpoch } from "./advance_epoch.ts";
import { ORDER_LIMITS } from "./constants.ts";
import { createDutyTable } from "./create_duty_table.ts";
import { decideReplica } from "./decide_replica.ts";
import type { DutyTable } from "./duty_table.ts";
import type { OrderMessage } from "./order_message_schema.ts";
import type { OrderOutcome } from "./order_outcome_schema.ts";
import type { OrderRecord } from "./order_record.ts";
import type { OrderReply } from "./order_reply_schema.ts";
import type { OrderTables } from "./order_tables.ts";

/** Options of {@link createOrderTables}. */
export interface OrderTablesOptions {
  readonly host: string;
  readonly incarnation: string;
  /** Limits; `ORDER_LIMITS` unless a test sets smaller ones. */
  readonly limits?: { readonly maxRecords: number; readonly maxOutcomeBytes: number };
}

/** Creates the tables of one process, with its local duty. */
export function createOrderTables(options: OrderTablesOptions): OrderTables {
  const limits = options.limits ?? ORDER_LIMITS;
  const localTable = createDutyTable(options.host, options.incarnation);
  const duties = new Map<string, DutyTable>([[options.incarnation, localTable]]);
  let records = 0;
  let outcomeBytes = 0;

  /** Recounts records and bytes after epochs or duties were dropped or added. */
  const recount = () => {
    const all = [...duties.values()].flatMap(listRecords);
    records = all.length;
    outcomeBytes = all.reduce((sum, record) => sum + countBytes(record), 0);
  };

  const storeRecord = (table: DutyTable, message: OrderMessage, record: OrderRecord) => {
    const known = table.epochs.get(message.epoch) ?? new Map<string, OrderRecord>();
    const previous = known.get(message.key);
    known.set(message.key, record);
    table.epochs.set(message.epoch, known);
    records += previous === undefined ? 1 : 0;
    outcomeBytes += countBytes(record) - (previous === undefined ? 0 : countBytes(previous));
  };

  const applyMessage = (message: OrderMessage): OrderReply => {
    const table = duties.get(message.incarnation);
    if (table === undefined) {
      return { type: "expired" };
    }
    const boundedMessage = message.type === "record"
      ? {
        ...message,
        outcome: dropLargeBody(message.outcome, limits.maxOutcomeBytes - outcomeBytes),
      }
      : message;
    const current = table.epochs.get(message.epoch)?.get(message.key);
    const duty = { ...table.duty, isFull: records >= limits.maxRecords };
    const { reply, record } = decideReplica(duty, current, boundedMessage);
    if (record !== undefined && record !== current) {
      storeRecord(table, boundedMessage, record);
    }
    return reply;
  };

  return {
    applyMessage,
    duties,
    addDuty: (table) => {
      const addedCount = listRecords(table).length;
      const isFull = duties.size >= ORDER_LIMITS.maxDuties ||
        records + addedCount > limits.maxRecords;
      if (isFull) {
        return false;
      }
      duties.set(table.duty.incarnation, table);
      recount();
      return true;
    },
    advanceEpochs: () => {
      for (const table of duties.values()) {
        advanceEpoch(table);
        if (table.duty.oldestEpoch > table.lastEpoch) {
          duties.delete(table.duty.incarnation);
        }
      }
      recount();
    },
    countRecords: () => records,
    countOutcomeBytes: () => outcomeBytes,
  };
}

function listRecords(table: DutyTable): OrderRecord[] {
  return [...table.epochs.values()].flatMap((records) => [...records.values()]);
}

function countBytes(record: OrderRecord): number {
  return record.outcome?.type === "completed" ? record.outcome.body.byteLength : 0;
}

/** Omits a body that is larger than `bytesLeft`; the status is always kept. */
function dropLargeBody(outcome: OrderOutcome, bytesLeft: number): OrderOutcome {
  return outcome.type !== "completed" || outcome.body.byteLength <= bytesLeft
    ? outcome
    : { ...outcome, body: new Uint8Array(), isBodyOmitted: true };
}
