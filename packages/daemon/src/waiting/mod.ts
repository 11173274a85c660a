/** One order over the hosts for the requests that wait for room on an engine. @module */
export { computeFreedTokens } from "./compute_freed_tokens.ts";
export { WAITING_LIMITS } from "./constants.ts";
export { createFleetWaiting } from "./create_fleet_waiting.ts";
export type { FleetWaiting, WaitingReport } from "./create_fleet_waiting.ts";
export { createRoomRate } from "./create_room_rate.ts";
export type { RoomRate } from "./create_room_rate.ts";
export { createWaitQueue } from "./create_wait_queue.ts";
export type { WaitQueue, WaitQueueOptions } from "./create_wait_queue.ts";
export type { PlacementTurn, WaitQueueEntry } from "./wait_queue_entry.ts";
