/** The daemon as a library, used by the command line, tests and benchmarks. @module */
export type { ServiceClient, ServiceRequest, ServiceResponse } from "./adapters/service_client.ts";
export { createEtcdSettingsSource } from "./adapters/create_etcd_settings_source.ts";
export type { PublishedBatch, PublishedValue, SettingsSource } from "./adapters/settings_source.ts";
export { createHttpPlacementClient } from "./adapters/create_http_placement_client.ts";
export type { PlacementClient } from "./adapters/placement_client.ts";
export {
  computeWantedPlacement,
  createSlotOwnerState,
  createSlotVoterState,
  PLACEMENT_LIMITS,
} from "./placement/mod.ts";
export { resolveDaemonConfig } from "./config/mod.ts";
export type { ResolvedDaemonConfig } from "./config/mod.ts";
export { createDaemon } from "./create_daemon.ts";
export type { Daemon, DaemonOptions, DaemonPorts } from "./create_daemon.ts";
export { createProcessDaemon } from "./create_process_daemon.ts";
export type { ProcessDaemonOptions } from "./create_process_daemon.ts";
export { createSystemClock } from "./adapters/create_system_clock.ts";
export { createManualClock } from "./common/create_manual_clock.ts";
export type { ManualClock } from "./common/create_manual_clock.ts";
export { createSeededRandom } from "./common/create_seeded_random.ts";
export {
  checkSettingsTree,
  createSettingsAgent,
  createSettingsState,
  createSettingsView,
  selectSettingsPage,
  validateSettingsValue,
} from "./settings/mod.ts";
export type {
  SettingsAgent,
  SettingsEffect,
  SettingsEvent,
  SettingsFinding,
  SettingsState,
  SettingsUpdate,
  SettingsView,
} from "./settings/mod.ts";
export { createOrderTables } from "./orders/mod.ts";
