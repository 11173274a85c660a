/** Settings of one daemon, read once at startup. @module */
export type { DaemonConfig } from "./daemon_config_schema.ts";
export { resolveDaemonConfig } from "./resolve_daemon_config.ts";
export type { DaemonConfigSource } from "./resolve_daemon_config.ts";
export type { ResolvedDaemonConfig } from "./resolved_daemon_config.ts";
