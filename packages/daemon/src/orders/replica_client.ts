import type { KeyReplica } from "./key_prefix_schema.ts";
import type { OrderMessage } from "./order_message_schema.ts";
import type { OrderReply } from "./order_reply_schema.ts";

/** Sends messages to replicas, also to the new holders of duties that were handed over. */
export interface ReplicaClient {
  /** Asks whoever holds a replica's duty; undefined without a valid reply before the timeout. */
  sendMessage(replica: KeyReplica, message: OrderMessage): Promise<OrderReply | undefined>;
  /** Asks a host for its own incarnation and epoch. */
  fetchIdentity(host: string): Promise<{ incarnation: string; epoch: number } | undefined>;
}
