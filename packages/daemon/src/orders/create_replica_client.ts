import { z } from "zod";
import type { DaemonContext } from "../common/daemon_context.ts";
import type { Membership } from "../membership/mod.ts";
import type { SettingsView } from "../settings/mod.ts";
import { ORDER_LIMITS } from "./constants.ts";
import { DUTY_TOPIC } from "./duty_topic.ts";
import { identityReplySchema } from "./identity_reply_schema.ts";
import { ORDER_CHANNEL } from "./order_channel.ts";
import type { KeyReplica } from "./key_prefix_schema.ts";
import { listLiveCandidates } from "./list_live_candidates.ts";
import { listSuccessors } from "./list_successors.ts";
import type { OrderMessage } from "./order_message_schema.ts";
import { orderReplySchema } from "./order_reply_schema.ts";
import type { OrderReply } from "./order_reply_schema.ts";
import type { ReplicaClient } from "./replica_client.ts";

/** Options of {@link createReplicaClient}. */
export interface ReplicaClientOptions {
  readonly context: Pick<DaemonContext, "peers">;
  readonly settings: SettingsView;
  readonly membership: Membership;
}

/** Maximum number of likely successors that are tried for a duty that its host no longer holds. */
const MAX_SUCCESSORS = 2;

const dutySchema = z.object({ incarnation: z.string().max(64) });

/** Creates the client for replicas; it learns from notices which duties have a new holder. */
export function createReplicaClient(options: ReplicaClientOptions): ReplicaClient {
  const { peers } = options.context;
  const holders = new Map<string, string>();

  options.membership.subscribeNotices(DUTY_TOPIC, ({ origin, payload }) => {
    const duty = dutySchema.safeParse(payload);
    if (!duty.success) {
      return;
    }
    recordHolder(duty.data.incarnation, origin);
  });

  const recordHolder = (incarnation: string, host: string) => {
    holders.delete(incarnation);
    holders.set(incarnation, host);
    const [oldest] = holders.keys();
    if (holders.size > ORDER_LIMITS.maxKnownReplicas && oldest !== undefined) {
      holders.delete(oldest);
    }
  };

  const sendToHost = async (
    host: string,
    message: OrderMessage,
  ): Promise<OrderReply | undefined> => {
    const { roundTimeoutMs } = ORDER_LIMITS;
    const reply = await peers.requestReply(host, ORDER_CHANNEL, message, roundTimeoutMs);
    return reply.toMaybe().chainNullable((body) => orderReplySchema.safeParse(body).data)
      .extract();
  };

  /** Tries likely successors; a reply other than `expired` proves that a host holds the duty. */
  const trySuccessors = async (
    replica: KeyReplica,
    message: OrderMessage,
  ): Promise<OrderReply | undefined> => {
    const live = listLiveCandidates(options.membership, options.settings);
    for (const host of listSuccessors(replica, live).slice(0, MAX_SUCCESSORS)) {
      const reply = await sendToHost(host, message);
      if (reply !== undefined && reply.type !== "expired") {
        recordHolder(replica.incarnation, host);
        return reply;
      }
    }
    return undefined;
  };

  return {
    sendMessage: async (replica, message) => {
      const holder = holders.get(replica.incarnation);
      const reply = await sendToHost(holder ?? replica.host, message);
      const isNotServed = reply === undefined || reply.type === "expired";
      // A known holder has announced the duty itself or replied for it: no other host is tried.
      return holder === undefined && isNotServed
        ? await trySuccessors(replica, message) ?? reply
        : reply;
    },
    fetchIdentity: async (host) => {
      const message = { type: "identify" };
      const { roundTimeoutMs } = ORDER_LIMITS;
      const reply = await peers.requestReply(host, ORDER_CHANNEL, message, roundTimeoutMs);
      return reply.toMaybe().chainNullable((body) => identityReplySchema.safeParse(body).data)
        .extract();
    },
  };
}
