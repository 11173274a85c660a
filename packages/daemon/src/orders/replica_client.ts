import type { KeyReplica } from "./key_prefix_schema.ts";
import type { OrderMessage } from "./order_message_schema.ts";
import type { OrderReply } from "./order_reply_schema.ts";

/** Sends messages to replicas, also to the new holders of duties that were handed over. */
export interface ReplicaClient {
  /** Sends to the holder of a replica's duty; undefined without a valid reply before the timeout. */
  sendMessage(replica: KeyReplica, message: OrderMessage): Promise<OrderReply | undefined>;
  /** Requests the incarnation and epoch of a host. */
  fetchIdentity(host: string): Promise<{ incarnation: string; epoch: number } | undefined>;
}
