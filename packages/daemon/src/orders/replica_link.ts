import type { KeyReplica } from "./key_prefix_schema.ts";
import type { OrderMessage } from "./order_message_schema.ts";
import type { OrderReply } from "./order_reply_schema.ts";

/** Messages of this process to replicas, wherever their duties stand by now. */
export interface ReplicaLink {
  /** Asks whoever holds a replica's duty; undefined without a valid answer in time. */
  askReplica(replica: KeyReplica, message: OrderMessage): Promise<OrderReply | undefined>;
  /** Asks a host for its own incarnation and epoch. */
  askIdentity(host: string): Promise<{ incarnation: string; epoch: number } | undefined>;
}
