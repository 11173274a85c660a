/** Daemons and stand-ins in one process. @module */
export { createLocalFleet } from "./create_local_fleet.ts";
export type { LocalFleet, LocalFleetOptions, LocalStandIns } from "./create_local_fleet.ts";
export type { LocalDaemon } from "./local_daemon.ts";
