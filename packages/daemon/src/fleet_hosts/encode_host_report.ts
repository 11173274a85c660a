import { pack } from "msgpackr";
import { HOST_REPORT_FIELDS } from "./host_report_fields.ts";
import type { HostReport } from "./host_report_schema.ts";

/** The fields that every build knows. */
const FORMER_FIELDS = HOST_REPORT_FIELDS.slice(0, HOST_REPORT_FIELDS.indexOf("protocolVersion"));

/**
 * Encodes a report as it stands in a datagram; a partial one without the fields that it lacks, as
 * their defaults would stand for what its host has reported.
 */
export function encodeHostReport(report: HostReport, isPartial = false): Uint8Array {
  const fields = isPartial ? FORMER_FIELDS : HOST_REPORT_FIELDS;
  return pack(fields.map((field) => report[field]));
}
