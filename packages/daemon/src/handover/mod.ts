/** Hands whole requests to hosts that reach upstreams which this host does not reach. @module */
export { acceptHandover } from "./accept_handover.ts";
export type { AcceptedHandover } from "./accept_handover.ts";
export type { HandoverHost } from "./choose_handover_host.ts";
export { HANDOVER_LIMITS } from "./constants.ts";
export { createHandover } from "./create_handover.ts";
export type { Handover, HandoverHandler, HandoverRequest } from "./create_handover.ts";
