/** Daemons and stand-ins in one process. @module */
export { createLocalFleet } from "./create_local_fleet.ts";
export type { LocalFleet, LocalFleetOptions, LocalStandIns } from "./create_local_fleet.ts";
export type { LocalDaemon } from "./local_daemon.ts";
export { fetchKeyPrefix } from "./fetch_key_prefix.ts";
export type { BookingOptions, OrderEnd } from "./order_end.ts";
export { formatDaemonSettings } from "./format_daemon_settings.ts";
export type { DaemonSettingsParts } from "./format_daemon_settings.ts";
export { formatHostValue } from "./format_host_value.ts";
export { runBooking } from "./run_booking.ts";
export { sendBooking } from "./send_booking.ts";
