import { HOST_REPORT_FIELDS } from "../host_report_fields.ts";
import { replaceReports } from "./replace_reports.ts";

const PROTOCOL_VERSION_PLACE = HOST_REPORT_FIELDS.indexOf("protocolVersion");

/**
 * Makes a datagram of this build one that a host of protocol version 0 sends: it encodes the reports
 * that it forwards anew, without the fields that it does not know.
 */
export function encodeAsFormerHost(datagram: Uint8Array, key: string): Uint8Array {
  return replaceReports(datagram, key, (fields) => fields.slice(0, PROTOCOL_VERSION_PLACE));
}
