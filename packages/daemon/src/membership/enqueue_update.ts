import type { MembershipState } from "./membership_state.ts";

const SENDS_PER_ROUND = 2;

/**
 * Queues the record of a host to be sent about 2 log2(n) times. Changes of the status, suspicions
 * and refutations are urgent; a record with only a new incarnation or counter is not.
 */
export function enqueueUpdate(state: MembershipState, host: string, isUrgent: boolean): void {
  const rounds = Math.ceil(Math.log2(state.members.size + 2));
  state.updates.delete(host);
  state.updates.set(host, { sendsLeft: SENDS_PER_ROUND * rounds, isUrgent });
}
