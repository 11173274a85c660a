import type { OrderRecord } from "../order_record.ts";
import type { Mutation } from "./mutation.ts";
import type { OrderDecisions } from "./order_decisions.ts";

type DecideReplica = OrderDecisions["decideReplica"];

/** Wraps the replica's decision function, so that mutations don't duplicate its code. */
function createMutation(name: string, wrap: (decide: DecideReplica) => DecideReplica): Mutation {
  return {
    name,
    apply: (decisions) => ({ ...decisions, decideReplica: wrap(decisions.decideReplica) }),
  };
}

function clearWithdrawn(record: OrderRecord | undefined): OrderRecord | undefined {
  return record === undefined ? undefined : { ...record, withdrawn: [] };
}

/** Deliberate errors in the replica's decisions, each of which the exploration must detect. */
export const REPLICA_MUTATIONS: readonly Mutation[] = [
  createMutation("grant twice", (decide) => (duty, record, message) => {
    const decision = decide(duty, record, message);
    return message.type === "claim" && decision.reply.type === "taken"
      ? { ...decision, reply: { type: "granted" } }
      : decision;
  }),
  createMutation("skip the incarnation check", (decide) => (duty, record, message) => {
    return decide(duty, record, { ...message, incarnation: duty.incarnation });
  }),
  createMutation("skip the epoch check", (decide) => (duty, record, message) => {
    return decide({ ...duty, oldestEpoch: 0 }, record, message);
  }),
  createMutation("release any holder's grant", (decide) => (duty, record, message) => {
    const claim = message.type === "release" && record !== undefined
      ? record.holder
      : message.claim;
    return decide(duty, record, { ...message, claim });
  }),
  createMutation("release a recorded outcome", (decide) => (duty, record, message) => {
    const decision = decide(duty, record, message);
    return message.type === "release" ? { ...decision, record: undefined } : decision;
  }),
  createMutation("grant a withdrawn claim", (decide) => (duty, record, message) => {
    return decide(duty, message.type === "claim" ? clearWithdrawn(record) : record, message);
  }),
  createMutation("ignore a release", (decide) => (duty, record, message) => {
    const decision = decide(duty, record, message);
    return message.type === "release" ? { ...decision, record } : decision;
  }),
  createMutation("drop the record of a grant", (decide) => (duty, record, message) => {
    const decision = decide(duty, record, message);
    return message.type === "claim" ? { ...decision, record } : decision;
  }),
  createMutation("grant during a handover", (decide) => (duty, record, message) => {
    return decide({ ...duty, isFrozen: false }, record, message);
  }),
];
