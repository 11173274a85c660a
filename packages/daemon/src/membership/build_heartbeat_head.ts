import type { Heartbeat } from "./heartbeat.ts";
import type { MembershipState } from "./membership_state.ts";
import { refreshOverlay } from "./refresh_overlay.ts";

/** Builds the part of a heartbeat that describes its sender. */
export function buildHeartbeatHead(
  state: MembershipState,
): Omit<Heartbeat, "updates" | "notices"> {
  refreshOverlay(state);
  const { incarnation, counter, status, digest, freshness } = state;
  return { incarnation, counter, status, digest, isAfterPause: freshness.isAfterPause };
}
