import { MEMBER_STATUS } from "./member_status.ts";
import type { MembershipEffect } from "./membership_effect.ts";
import type { MembershipState } from "./membership_state.ts";
import { enqueueUpdate } from "./enqueue_update.ts";
import { refreshOverlay } from "./refresh_overlay.ts";

/** Reports to all neighbours at once that this daemon is leaving or has left. */
export function decideLeave(
  state: MembershipState,
  status: typeof MEMBER_STATUS.leaving | typeof MEMBER_STATUS.left,
): MembershipEffect[] {
  state.status = status;
  state.counter += 1;
  state.mustRecomputeDigest = true;
  enqueueUpdate(state, state.host, true);
  refreshOverlay(state);
  return state.neighbours.map((host) => ({ type: "probe", host }));
}
