import { MEMBER_STATUS } from "./member_status.ts";
import type { MembershipState } from "./membership_state.ts";

const STATUS_NAMES = Object.keys(MEMBER_STATUS);
const MAX_NOTABLE = 64;

/**
 * Dumps a view: counts by status, and the members that are not alive or are reachable only through
 * helpers.
 */
export function dumpMembership(state: MembershipState, nowMs: number): unknown {
  const counts = Object.fromEntries(STATUS_NAMES.map((name) => [name, 0]));
  const members = [...state.members.values()];
  for (const member of members) {
    const name = STATUS_NAMES[member.status] ?? "";
    counts[name] = (counts[name] ?? 0) + 1;
  }
  const notable = members.filter((member) => member.status !== 0 || member.isIndirect);
  return {
    status: STATUS_NAMES[state.status],
    counter: state.counter,
    superseded: state.isSuperseded,
    fresh: state.freshness.isFresh,
    counts,
    notable: notable.slice(0, MAX_NOTABLE).map((member) => ({
      host: member.host,
      status: STATUS_NAMES[member.status],
      counter: member.counter,
      forMs: Math.round(nowMs - member.changedAtMs),
      onlyThroughHelpers: member.isIndirect,
    })),
    neighbours: state.neighbours,
    pendingUpdates: state.updates.size,
    pendingNotices: state.notices.pending.size,
  };
}
