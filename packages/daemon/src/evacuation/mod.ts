/** Evacuation of data centres: no request is sent to their upstreams. @module */
export { EVACUATION_LIMITS } from "./constants.ts";
export { createEvacuations } from "./create_evacuations.ts";
export type { Evacuations } from "./create_evacuations.ts";
export type { EvacuationEvent } from "./evacuation_event.ts";
export { decideEvacuationMoves } from "./decide_evacuation_moves.ts";
export { isPastLastCall } from "./is_past_last_call.ts";
