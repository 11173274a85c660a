import { HOST_LIMITS } from "../constants.ts";
import { HOST_REPORT_FIELDS } from "../host_report_fields.ts";
import { replaceReports } from "./replace_reports.ts";

const PROTOCOL_VERSION_PLACE = HOST_REPORT_FIELDS.indexOf("protocolVersion");

/**
 * Makes a datagram what a host of protocol version 0 reads of it; undefined for a compressed one. All
 * reports have protocol version 0, so that a host of this build with them ranks relays by size.
 */
export function decodeAsFormerHost(datagram: Uint8Array, key: string): Uint8Array | undefined {
  return datagram[HOST_LIMITS.signatureBytes] === HOST_LIMITS.compressedMark
    ? undefined
    : replaceReports(datagram, key, (fields) => [...fields.slice(0, PROTOCOL_VERSION_PLACE), 0]);
}
