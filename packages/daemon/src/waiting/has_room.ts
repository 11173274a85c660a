import { reserveRoom } from "./reserve_room.ts";
import type { EngineRoom } from "./reserve_room.ts";

/** Whether an engine has enough free memory and a slot for a request. */
export function hasRoom(room: EngineRoom, memoryTokens: number): boolean {
  return reserveRoom(room, memoryTokens).doesFit;
}
