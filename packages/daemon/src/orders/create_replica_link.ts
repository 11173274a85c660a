import { z } from "zod";
import type { DaemonContext } from "../common/daemon_context.ts";
import type { Membership } from "../membership/mod.ts";
import { ORDER_LIMITS } from "./constants.ts";
import { DUTY_TOPIC } from "./duty_topic.ts";
import { identityReplySchema } from "./identity_reply_schema.ts";
import { ORDER_CHANNEL } from "./order_channel.ts";
import { orderReplySchema } from "./order_reply_schema.ts";
import type { ReplicaLink } from "./replica_link.ts";

/** Options of {@link createReplicaLink}. */
export interface ReplicaLinkOptions {
  readonly context: Pick<DaemonContext, "peers">;
  readonly membership: Membership;
}

const dutySchema = z.object({ incarnation: z.string().max(64) });

/** Creates the link to replicas; it learns from notices which duties have moved. */
export function createReplicaLink(options: ReplicaLinkOptions): ReplicaLink {
  const { peers } = options.context;
  const holders = new Map<string, string>();

  options.membership.subscribeNotices(DUTY_TOPIC, ({ origin, payload }) => {
    const duty = dutySchema.safeParse(payload);
    if (!duty.success) {
      return;
    }
    holders.delete(duty.data.incarnation);
    holders.set(duty.data.incarnation, origin);
    const [oldest] = holders.keys();
    if (holders.size > ORDER_LIMITS.maxKnownReplicas && oldest !== undefined) {
      holders.delete(oldest);
    }
  });

  return {
    askReplica: async (replica, message) => {
      const host = holders.get(replica.incarnation) ?? replica.host;
      const { roundTimeoutMs } = ORDER_LIMITS;
      const reply = await peers.requestReply(host, ORDER_CHANNEL, message, roundTimeoutMs);
      return reply.toMaybe().chainNullable((body) => orderReplySchema.safeParse(body).data)
        .extract();
    },
    askIdentity: async (host) => {
      const message = { type: "identify" };
      const { roundTimeoutMs } = ORDER_LIMITS;
      const reply = await peers.requestReply(host, ORDER_CHANNEL, message, roundTimeoutMs);
      return reply.toMaybe().chainNullable((body) => identityReplySchema.safeParse(body).data)
        .extract();
    },
  };
}
