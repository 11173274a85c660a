import type { Heartbeat } from "./heartbeat.ts";
import type { MembershipState } from "./membership_state.ts";
import { refreshOverlay } from "./refresh_overlay.ts";

/** Builds what a heartbeat says of its sender. */
export function buildHeartbeatHead(
  state: MembershipState,
): Omit<Heartbeat, "updates" | "notices"> {
  refreshOverlay(state);
  const { incarnation, counter, status, digest, freshness } = state;
  return { incarnation, counter, status, digest, isWoken: freshness.isWoken };
}
