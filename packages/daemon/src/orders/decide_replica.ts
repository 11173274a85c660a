import { ORDER_LIMITS } from "./constants.ts";
import type { OrderMessage } from "./order_message_schema.ts";
import type { OrderRecord } from "./order_record.ts";
import type { OrderReply } from "./order_reply_schema.ts";
import type { ReplicaDuty } from "./replica_duty.ts";

/** Result of {@link decideReplica}. */
export interface ReplicaDecision {
  readonly reply: OrderReply;
  /** The key's record after the message; undefined when there is none. */
  readonly record: OrderRecord | undefined;
}

/**
 * Applies one message to a replica's record of a key. The first claim holds the key until it is
 * released; a grant never times out in favour of another claim. For keys whose records were lost or
 * dropped, every reply is `expired`.
 */
export function decideReplica(
  duty: ReplicaDuty,
  record: OrderRecord | undefined,
  message: OrderMessage,
): ReplicaDecision {
  if (!isCoveredByDuty(duty, message)) {
    return { reply: { type: "expired" }, record };
  }
  // A handover to another host has started.
  if (duty.isFrozen) {
    return { reply: { type: "moved" }, record };
  }
  if (record === undefined && duty.isFull) {
    return { reply: { type: "full" }, record };
  }
  if (record !== undefined && record.digest !== message.digest) {
    return { reply: { type: "mismatch" }, record };
  }
  const current = record ?? { digest: message.digest, holder: "", withdrawn: [] };
  switch (message.type) {
    case "claim":
      return applyClaim(current, message.claim);
    case "release":
      return { reply: { type: "done" }, record: applyRelease(current, message.claim) };
    case "record":
      return { reply: { type: "done" }, record: applyOutcome(current, message) };
  }
}

function isCoveredByDuty(duty: ReplicaDuty, message: OrderMessage): boolean {
  return message.incarnation === duty.incarnation &&
    message.epoch >= duty.oldestEpoch && message.epoch <= duty.epoch;
}

function applyClaim(record: OrderRecord, claim: string): ReplicaDecision {
  if (record.outcome !== undefined) {
    return { reply: { type: "taken", claim: record.holder, outcome: record.outcome }, record };
  }
  if (record.withdrawn.includes(claim)) {
    return { reply: { type: "withdrawn" }, record };
  }
  if (record.holder !== "" && record.holder !== claim) {
    return { reply: { type: "taken", claim: record.holder }, record };
  }
  return { reply: { type: "granted" }, record: { ...record, holder: claim } };
}

/**
 * Releases the grant of this claim only, and stores the claim so that a delayed claim message of it
 * is rejected.
 */
function applyRelease(record: OrderRecord, claim: string): OrderRecord {
  if (record.withdrawn.includes(claim)) {
    return record;
  }
  const withdrawn = [...record.withdrawn, claim].slice(-ORDER_LIMITS.maxWithdrawnClaims);
  return { ...record, withdrawn, holder: record.holder === claim ? "" : record.holder };
}

/**
 * Stores the first outcome. Only a claimant with a majority sends one, so it is valid even if
 * another claim holds this replica's grant.
 */
function applyOutcome(
  record: OrderRecord,
  message: Extract<OrderMessage, { type: "record" }>,
): OrderRecord {
  if (record.outcome !== undefined) {
    return record;
  }
  return { ...record, holder: message.claim, outcome: message.outcome };
}
