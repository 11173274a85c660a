import { timingSafeEqual } from "node:crypto";
import { unpack } from "msgpackr";
import { HOST_LIMITS } from "./constants.ts";
import { HOST_REPORT_FIELDS } from "./host_report_fields.ts";
import { hostReportSchema } from "./host_report_schema.ts";
import type { HostReport } from "./host_report_schema.ts";
import { signDatagram } from "./sign_datagram.ts";

/**
 * Decodes a datagram; returns undefined when it is not signed with the fleet's key or is not a valid
 * report.
 */
export function decodeHostReport(datagram: Uint8Array, key: string): HostReport | undefined {
  const body = datagram.subarray(HOST_LIMITS.signatureBytes);
  const signature = datagram.subarray(0, HOST_LIMITS.signatureBytes);
  if (
    signature.length !== HOST_LIMITS.signatureBytes ||
    !timingSafeEqual(signature, signDatagram(body, key))
  ) {
    return undefined;
  }
  const fields = decodeFields(body);
  if (fields === undefined) {
    return undefined;
  }
  const parsed = hostReportSchema.safeParse(
    Object.fromEntries(HOST_REPORT_FIELDS.map((field, index) => [field, fields[index]])),
  );
  return parsed.success ? parsed.data : undefined;
}

function decodeFields(body: Uint8Array): unknown[] | undefined {
  try {
    const value: unknown = unpack(body);
    return Array.isArray(value) ? value : undefined;
  } catch {
    return undefined; // the body is not valid msgpack
  }
}
