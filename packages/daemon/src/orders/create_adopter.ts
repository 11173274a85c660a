import type { AdoptionTransfer } from "./adoption_message_schema.ts";
import { ORDER_LIMITS } from "./constants.ts";
import { createDutyTable } from "./create_duty_table.ts";
import { decideAdoption } from "./decide_adoption.ts";
import type { AdoptionReply, AdoptionState } from "./decide_adoption.ts";
import type { DutyTable } from "./duty_table.ts";
import type { OrderRecord } from "./order_record.ts";
import type { OrderTables } from "./order_tables.ts";

/** Successor side of handovers. */
export interface Adopter {
  applyTransfer(message: AdoptionTransfer): AdoptionReply;
  /**
   * Called at each change of the epoch. Permanently drops the records of transfers that were not
   * committed within a full epoch.
   */
  dropUncommittedTransfers(): void;
}

/** Options of {@link createAdopter}. */
export interface AdopterOptions {
  readonly tables: OrderTables;
  /** Called when a duty has been adopted. */
  readonly onAdopted: (table: DutyTable) => void;
}

interface Adoption {
  state: AdoptionState;
  readonly table: DutyTable;
  epochsElapsed: number;
}

/** Adoptions stored, closed ones included; at the limit a handover is refused. */
const MAX_ADOPTIONS = 1_024;
/** Epoch changes after which the records of an uncommitted transfer are dropped. */
const MAX_STAGING_EPOCHS = 2;

/** Creates the successor side of handovers. */
export function createAdopter(options: AdopterOptions): Adopter {
  const { tables } = options;
  const adoptions = new Map<string, Adoption>();

  const getOrCreateAdoption = (message: AdoptionTransfer): Adoption | undefined => {
    const { incarnation } = message;
    const known = adoptions.get(incarnation);
    if (known !== undefined) {
      return known;
    }
    const isRefused = message.type === "commit" || adoptions.size >= MAX_ADOPTIONS ||
      tables.duties.has(incarnation);
    if (isRefused) {
      return undefined;
    }
    const created: Adoption = {
      state: { phase: "none", transfer: "", frames: 0 },
      table: createDutyTable(message.host, incarnation, message.epoch),
      epochsElapsed: 0,
    };
    adoptions.set(incarnation, created);
    return created;
  };

  const adoptDuty = (adoption: Adoption): AdoptionReply => {
    if (!tables.addDuty(adoption.table)) {
      adoption.state = { ...adoption.state, phase: "closed" };
      adoption.table.epochs.clear();
      return "refused";
    }
    options.onAdopted(adoption.table);
    return "adopted";
  };

  return {
    applyTransfer: (message) => {
      const adoption = getOrCreateAdoption(message);
      if (adoption === undefined) {
        return message.type === "commit" ? "refused" : "stageFailed";
      }
      const wasAdopted = adoption.state.phase === "adopted";
      const { state, reply, isFrameNew } = decideAdoption(adoption.state, message);
      adoption.state = state;
      if (isFrameNew && message.type === "stage") {
        storeFrame(adoption.table, message);
      }
      return reply === "adopted" && !wasAdopted ? adoptDuty(adoption) : reply;
    },
    dropUncommittedTransfers: () => {
      for (const adoption of adoptions.values()) {
        adoption.epochsElapsed++;
        if (adoption.state.phase === "staging" && adoption.epochsElapsed >= MAX_STAGING_EPOCHS) {
          adoption.state = { ...adoption.state, phase: "closed" };
          adoption.table.epochs.clear();
        }
      }
      deleteOldAdoptions(adoptions, tables);
    },
  };
}

/** Deletes adoptions long after the last message of their transfer can have been in flight. */
function deleteOldAdoptions(adoptions: Map<string, Adoption>, tables: OrderTables): void {
  for (const [incarnation, adoption] of adoptions) {
    const isExpired = adoption.epochsElapsed > 2 * ORDER_LIMITS.retainedEpochs;
    if (isExpired && !tables.duties.has(incarnation)) {
      adoptions.delete(incarnation);
    }
  }
}

function storeFrame(
  table: DutyTable,
  message: Extract<AdoptionTransfer, { type: "stage" }>,
): void {
  const { epoch, oldestEpoch } = message;
  table.duty = { ...table.duty, epoch, oldestEpoch };
  for (const { epoch, key, record } of message.records) {
    const records = table.epochs.get(epoch) ?? new Map<string, OrderRecord>();
    records.set(key, record as OrderRecord);
    table.epochs.set(epoch, records);
  }
}
