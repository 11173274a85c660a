import { buildHeartbeatHead } from "./build_heartbeat_head.ts";
import { buildMemberUpdate } from "./build_member_update.ts";
import type { Heartbeat } from "./heartbeat.ts";
import type { MembershipState } from "./membership_state.ts";

/** Creates a heartbeat with the complete view, the response to a pull. */
export function createFullHeartbeat(state: MembershipState): Heartbeat {
  const updates = [...state.members.values()].map(buildMemberUpdate);
  return { ...buildHeartbeatHead(state), updates, notices: [] };
}
