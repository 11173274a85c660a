/** Graceful shutdown of the daemon. @module */
export { createShutdown } from "./create_shutdown.ts";
export type { Shutdown, ShutdownOptions } from "./create_shutdown.ts";
export type { ShutdownStep } from "./shutdown_step.ts";
