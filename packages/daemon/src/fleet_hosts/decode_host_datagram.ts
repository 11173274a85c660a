import { timingSafeEqual } from "node:crypto";
import { unpack } from "msgpackr";
import { z } from "zod";
import { HOST_LIMITS } from "./constants.ts";
import type { AgedReport, HostDatagram } from "./host_datagram.ts";
import { HOST_REPORT_FIELDS } from "./host_report_fields.ts";
import { hostReportSchema } from "./host_report_schema.ts";
import type { HostReport } from "./host_report_schema.ts";
import { signDatagram } from "./sign_datagram.ts";

const bodySchema = z.tuple([
  z.string(),
  z.string().max(200),
  z.array(z.tuple([z.number().min(0), z.instanceof(Uint8Array)])).max(HOST_LIMITS.maxHosts),
  z.array(z.tuple([z.string().max(64), z.unknown()])).max(HOST_LIMITS.maxMessages),
]);

/**
 * Decodes a datagram; returns undefined when it is not signed with the fleet's key or contains an
 * invalid report.
 */
export function decodeHostDatagram(datagram: Uint8Array, key: string): HostDatagram | undefined {
  const body = datagram.subarray(HOST_LIMITS.signatureBytes);
  const signature = datagram.subarray(0, HOST_LIMITS.signatureBytes);
  if (
    signature.length !== HOST_LIMITS.signatureBytes ||
    !timingSafeEqual(signature, signDatagram(body, key))
  ) {
    return undefined;
  }
  const parsed = bodySchema.safeParse(decodeBody(body));
  if (!parsed.success) {
    return undefined;
  }
  const [senderAddress, senderDataCentre, items, parts] = parsed.data;
  const reports: AgedReport[] = [];
  for (const [ageMs, bytes] of items) {
    const report = decodeReport(bytes);
    if (report === undefined) {
      return undefined;
    }
    reports.push({ report, ageMs });
  }
  const messages = parts.map(([topic, payload]) => ({ topic, payload }));
  return { senderAddress, senderDataCentre, reports, messages };
}

function decodeReport(bytes: Uint8Array): HostReport | undefined {
  const fields = decodeBody(bytes);
  if (!Array.isArray(fields)) {
    return undefined;
  }
  const report: Partial<Record<keyof HostReport, unknown>> = {};
  HOST_REPORT_FIELDS.forEach((field, index) => report[field] = fields[index]);
  const parsed = hostReportSchema.safeParse(report);
  return parsed.success ? parsed.data : undefined;
}

function decodeBody(body: Uint8Array): unknown {
  try {
    return unpack(body);
  } catch {
    return undefined; // the body is not valid msgpack
  }
}
