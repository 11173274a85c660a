/** Discovery of the fleet's hosts from a few seeds, and their exchange of reports. @module */
export { chooseAddresses } from "./choose_addresses.ts";
export type { AddressCandidate } from "./choose_addresses.ts";
export { computeLiveTime } from "./compute_live_time.ts";
export { HOST_LIMITS } from "./constants.ts";
export { createHostNotices } from "./create_host_notices.ts";
export { decodeHostDatagram } from "./decode_host_datagram.ts";
export { createFleetHosts } from "./create_fleet_hosts.ts";
export type { FleetHosts, LocalReport, MessageListener } from "./create_fleet_hosts.ts";
export type { AgedReport } from "./host_datagram.ts";
export { markIncarnation } from "./mark_incarnation.ts";
export { createTestFleet } from "./testing/create_test_fleet.ts";
export type { HostReport } from "./host_report_schema.ts";
