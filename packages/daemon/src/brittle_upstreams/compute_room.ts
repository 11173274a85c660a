import { BRITTLE_LIMITS } from "./constants.ts";
import type { UpstreamRoom } from "./upstream_room.ts";

/** Computes the room of an upstream now: it grows by one in each interval, up to its slots. */
export function computeRoom(
  { room, atMs }: Pick<UpstreamRoom, "room" | "atMs">,
  slots: number,
  nowMs: number,
): number {
  return Math.min(slots, room + Math.floor((nowMs - atMs) / BRITTLE_LIMITS.growthMs));
}
