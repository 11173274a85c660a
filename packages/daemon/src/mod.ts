/** The daemon as a library, for the command line, tests and measurements. @module */
export type { ServiceClient, ServiceRequest, ServiceResponse } from "./adapters/service_client.ts";
export { resolveDaemonConfig } from "./config/mod.ts";
export type { ResolvedDaemonConfig } from "./config/mod.ts";
export { createDaemon } from "./create_daemon.ts";
export type { Daemon, DaemonOptions, DaemonPorts } from "./create_daemon.ts";
export { createProcessDaemon } from "./create_process_daemon.ts";
export type { ProcessDaemonOptions } from "./create_process_daemon.ts";
export { checkSettingsTree, validateSettingsValue } from "./settings/mod.ts";
export type { SettingsFinding } from "./settings/mod.ts";
