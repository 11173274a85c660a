import type { Timer } from "@crocussail/protocol";
import { z } from "zod";
import type { DaemonContext } from "../common/daemon_context.ts";
import type { Membership } from "../membership/mod.ts";
import type { SettingsView } from "../settings/mod.ts";
import { adoptionMessageSchema } from "./adoption_message_schema.ts";
import { ORDER_LIMITS } from "./constants.ts";
import { createAdopter } from "./create_adopter.ts";
import { createOrderTables } from "./create_order_tables.ts";
import type { AdoptionReply } from "./decide_adoption.ts";
import type { DutyTable } from "./duty_table.ts";
import { DUTY_TOPIC } from "./duty_topic.ts";
import { listLiveCandidates } from "./list_live_candidates.ts";
import { listSuccessors } from "./list_successors.ts";
import { ORDER_CHANNEL } from "./order_channel.ts";
import { orderMessageSchema } from "./order_message_schema.ts";
import type { OrderMessage } from "./order_message_schema.ts";
import type { OrderReply } from "./order_reply_schema.ts";
import { transferDuty } from "./transfer_duty.ts";

/** Options of {@link createReplica}. */
export interface ReplicaOptions {
  readonly context: Omit<DaemonContext, "journal">;
  readonly settings: SettingsView;
  readonly membership: Membership;
}

/** Replica side of the orders slice: stores the records of keys in this process's memory. */
export interface Replica {
  readIdentity(): { incarnation: string; epoch: number };
  /** Transfers every duty to successors; the process must end afterwards. */
  handOverDuties(): Promise<void>;
  stop(): void;
  dumpState(): Record<string, unknown>;
}

const MAX_CANDIDATES = 3;
const TRANSFER_ID_BYTES = 8;
/** Interval between notices of the duties that this process has adopted, in milliseconds. */
const NOTICE_INTERVAL_MS = 10_000;
const NOTICE_TTL_MS = 60_000;
const messageSchema = z.union([
  z.strictObject({ type: z.literal("identify") }),
  orderMessageSchema,
  adoptionMessageSchema,
]);

/** Creates the replica side and registers it on its peer channel. */
export function createReplica(options: ReplicaOptions): Replica {
  const { context, membership } = options;
  const { peers, clock, logger, random, incarnation } = context;
  const self = context.config.host.name;
  const tables = createOrderTables({ host: self, incarnation });
  const timers = new Map<string, Timer>();
  let isFullReported = false;

  const publishDuty = (table: DutyTable) =>
    membership.publishNotice({
      topic: DUTY_TOPIC,
      key: `${table.duty.incarnation}@${self}@${Math.floor(clock.readMonotonicMs())}`,
      payload: { incarnation: table.duty.incarnation },
      ttlMs: NOTICE_TTL_MS,
    });
  const listAdopted = () => [...tables.duties.values()].slice(1);
  const adopter = createAdopter({
    tables,
    onAdopted: (table) => {
      const fields = { predecessor: table.host, incarnation: table.duty.incarnation };
      logger.writeEvent("dutyAdopted", fields);
      publishDuty(table);
    },
  });

  const repeatEvery = (name: string, delayMs: number, callback: () => void) => {
    timers.set(
      name,
      clock.startTimer(delayMs, () => {
        callback();
        repeatEvery(name, delayMs, callback);
      }),
    );
  };
  repeatEvery("epochs", ORDER_LIMITS.epochMs, () => {
    isFullReported = false;
    tables.advanceEpochs();
    adopter.dropUncommittedTransfers();
  });
  repeatEvery("notices", NOTICE_INTERVAL_MS, () => listAdopted().forEach(publishDuty));

  /** Applies a claimant's message; logs a full table at most once per epoch. */
  const applyOrderMessage = (message: OrderMessage): OrderReply => {
    const reply = tables.applyMessage(message);
    if (reply.type === "full" && !isFullReported) {
      isFullReported = true;
      logger.writeEvent("orderTableFull", { records: tables.countRecords() });
    }
    return reply;
  };

  const readIdentity = () => {
    const epoch = tables.duties.get(incarnation)?.duty.epoch ?? 0;
    return { incarnation, epoch };
  };

  peers.registerHandler(ORDER_CHANNEL, (_from, body) => {
    const message = messageSchema.parse(body);
    switch (message.type) {
      case "identify":
        return { type: "identity", ...readIdentity() };
      case "stage":
      case "commit":
        return adopter.applyTransfer(message);
      default:
        return applyOrderMessage(message);
    }
  });

  const listCandidates = ({ host, duty }: DutyTable): string[] => {
    // `listSuccessors` looks up the data centre of the duty's host, which is this host for the
    // local duty. A draining host is not in its own list of live hosts, so it is added for that,
    // and removed from the result.
    const localCandidate = { host: self, dataCentre: context.config.host.dataCentre };
    const live = listLiveCandidates(membership, options.settings)
      .filter((candidate) => candidate.host !== self);
    return listSuccessors({ host, incarnation: duty.incarnation }, [...live, localCandidate])
      .filter((candidate) => candidate !== self)
      .slice(0, MAX_CANDIDATES);
  };

  const handOver = async (table: DutyTable) => {
    const successor = await transferDuty({
      table,
      candidates: listCandidates(table),
      createTransferId: () => random.nextHex(TRANSFER_ID_BYTES),
      sendToSuccessor: async (host, message) => {
        const { transferTimeoutMs } = ORDER_LIMITS;
        const reply = await peers.requestReply(host, ORDER_CHANNEL, message, transferTimeoutMs);
        return reply.toMaybe().extract() as AdoptionReply | undefined;
      },
    });
    const fields = { incarnation: table.duty.incarnation, successor: successor ?? "none" };
    logger.writeEvent(successor === undefined ? "dutyLost" : "dutyHandedOver", fields);
  };

  return {
    readIdentity,
    handOverDuties: async () => {
      await Promise.all([...tables.duties.values()].map(handOver));
    },
    stop: () => timers.forEach((timer) => timer.cancel()),
    dumpState: () => ({
      records: tables.countRecords(),
      outcomeBytes: tables.countOutcomeBytes(),
      duties: [...tables.duties.values()].map(({ host, duty }) => ({ host, ...duty })),
    }),
  };
}
