/** Daemons and stand-ins in one process. @module */
export { createLocalFleet } from "./create_local_fleet.ts";
export type { LocalFleet, LocalFleetOptions, LocalStandIns } from "./create_local_fleet.ts";
export type { LocalDaemon } from "./local_daemon.ts";
export { fetchKeyPrefix } from "./fetch_key_prefix.ts";
export type { BookingOptions, OrderResult } from "./order_result.ts";
export { formatDaemonSettings } from "./format_daemon_settings.ts";
export type { DaemonSettingsParts } from "./format_daemon_settings.ts";
export { formatHostValue } from "./format_host_value.ts";
export { sendBookingWithRetries } from "./send_booking_with_retries.ts";
export { sendBooking } from "./send_booking.ts";
