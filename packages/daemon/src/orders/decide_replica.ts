import type { OrderMessage } from "./order_message_schema.ts";
import type { OrderReply } from "./order_reply_schema.ts";

/** What a replica remembers of one key. */
export interface OrderRecord {
  readonly claim: string;
  readonly digest: string;
  readonly outcome?: Extract<OrderMessage, { type: "record" }>["outcome"];
}

/** Memory of one replica. */
export interface ReplicaState {
  readonly incarnation: string;
  readonly records: Map<string, OrderRecord>;
}

/** Applies one message to a replica and returns its answer; the first claim of a key wins. */
export function decideReplica(state: ReplicaState, message: OrderMessage): OrderReply {
  if (message.type === "identify") {
    return { type: "identity", incarnation: state.incarnation };
  }
  const record = state.records.get(message.key);
  switch (message.type) {
    case "claim":
      return applyClaim(state, message, record);
    case "release":
      if (record?.claim === message.claim && record.outcome === undefined) {
        state.records.delete(message.key);
      }
      return { type: "done" };
    case "record":
      if (record?.claim === message.claim) {
        state.records.set(message.key, { ...record, outcome: message.outcome });
      }
      return { type: "done" };
  }
}

function applyClaim(
  state: ReplicaState,
  message: Extract<OrderMessage, { type: "claim" }>,
  record: OrderRecord | undefined,
): OrderReply {
  if (message.incarnation !== state.incarnation) {
    return { type: "expired" };
  }
  if (record === undefined) {
    state.records.set(message.key, { claim: message.claim, digest: message.digest });
    return { type: "granted" };
  }
  if (record.claim === message.claim) {
    return { type: "granted" };
  }
  const { digest, outcome } = record;
  return outcome === undefined ? { type: "taken", digest } : { type: "taken", digest, outcome };
}
