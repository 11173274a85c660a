import type { MembershipState } from "./membership_state.ts";

const SENDS_PER_ROUND = 2;

/**
 * Queues the record of a host to be sent about 2 log2(n) times. Suspicions, deaths and refutations
 * are urgent; a change of only the process is not.
 */
export function enqueueUpdate(state: MembershipState, host: string, isUrgent: boolean): void {
  const rounds = Math.ceil(Math.log2(state.members.size + 2));
  state.updates.delete(host);
  state.updates.set(host, { sendsLeft: SENDS_PER_ROUND * rounds, isUrgent });
}
