/** Bounds what the clients of all listeners of a process hold. @module */
export { createConnectionGuard } from "./create_connection_guard.ts";
export type { ConnectionGuard } from "./create_connection_guard.ts";
export type { ListenerName } from "./listener_name.ts";
