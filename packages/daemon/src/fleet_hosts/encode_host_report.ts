import { pack } from "msgpackr";
import { HOST_REPORT_FIELDS } from "./host_report_fields.ts";
import type { HostReport } from "./host_report_schema.ts";
import { signDatagram } from "./sign_datagram.ts";

/** Encodes a report as a signed datagram. */
export function encodeHostReport(report: HostReport, key: string): Uint8Array {
  const body = pack(HOST_REPORT_FIELDS.map((field) => report[field]));
  return Buffer.concat([signDatagram(body, key), body]);
}
