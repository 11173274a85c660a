/** Daemons and stand-ins in one process. @module */
export { createLocalFleet } from "./create_local_fleet.ts";
export type { LocalDaemon, LocalFleet, LocalFleetOptions } from "./create_local_fleet.ts";
