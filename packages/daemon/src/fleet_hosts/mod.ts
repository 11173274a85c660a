/** Hosts of the fleet that find each other from a few seeds. @module */
export { chooseAddresses } from "./choose_addresses.ts";
export type { NamedHost } from "./choose_addresses.ts";
export { computeLiveTime } from "./compute_live_time.ts";
export { HOST_LIMITS } from "./constants.ts";
export { createFleetHosts } from "./create_fleet_hosts.ts";
export type { FleetHosts } from "./create_fleet_hosts.ts";
export type { HostReport } from "./host_report_schema.ts";
