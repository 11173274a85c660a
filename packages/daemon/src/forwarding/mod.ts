/** Forwards callers' requests by published routes. @module */
export { createForwarder } from "./create_forwarder.ts";
export { recordFreedRoom } from "./record_freed_room.ts";
export type { Forwarder } from "./create_forwarder.ts";
export type { ForwardingContext } from "./forwarding_context.ts";
