import { timingSafeEqual } from "node:crypto";
import { inflateRawSync } from "node:zlib";
import { unpack } from "msgpackr";
import { HOST_LIMITS } from "./constants.ts";
import type { AgedReport, HostDatagram } from "./host_datagram.ts";
import type { HostMessage } from "./host_message.ts";
import type { HostReport } from "./host_report_schema.ts";
import { isHostReport } from "./is_host_report.ts";
import { readIncarnationMark } from "./read_incarnation_mark.ts";
import { readReportIdentity } from "./read_report_identity.ts";
import type { ReportIdentity } from "./read_report_identity.ts";
import { signDatagram } from "./sign_datagram.ts";

/** Whether a report from the given sender is known already and need not be decoded. */
export type IsKnownReport = (identity: ReportIdentity, senderAddress: string) => boolean;

/** Body of a datagram before its reports are decoded. */
interface DatagramBody {
  readonly senderAddress: string;
  readonly senderDataCentre: string;
  /** Age and bytes of each report. */
  readonly items: readonly (readonly [number, Uint8Array])[];
  readonly messages: readonly HostMessage[];
}

/**
 * Decodes a datagram; returns undefined when it is not signed with the fleet's key or contains an
 * invalid report. With `isKnown`, reports that are known are listed by their identity only, and the
 * others have their bytes.
 */
export function decodeHostDatagram(
  datagram: Uint8Array,
  key: string,
  isKnown?: IsKnownReport,
): HostDatagram | undefined {
  const signed = datagram.subarray(HOST_LIMITS.signatureBytes);
  const signature = datagram.subarray(0, HOST_LIMITS.signatureBytes);
  if (
    signature.length !== HOST_LIMITS.signatureBytes ||
    !timingSafeEqual(signature, signDatagram(signed, key))
  ) {
    return undefined;
  }
  const body = decodeBody(signed);
  if (body === undefined) {
    return undefined;
  }
  const { senderAddress, senderDataCentre, items, messages } = body;
  const reports: AgedReport[] = [];
  const known: ReportIdentity[] = [];
  for (const [ageMs, bytes] of items) {
    const identity = isKnown && readReportIdentity(bytes);
    if (identity !== undefined && isKnown?.(identity, senderAddress)) {
      known.push(identity);
      continue;
    }
    const decoded = decodeReport(bytes);
    if (decoded === undefined) {
      return undefined;
    }
    reports.push(isKnown === undefined ? { ...decoded, ageMs } : { ...decoded, ageMs, bytes });
  }
  const decoded = { senderAddress, senderDataCentre, reports, messages };
  return isKnown === undefined ? decoded : { ...decoded, known };
}

/** Decodes the body, which is compressed if it begins with the mark of compressed ones. */
function decodeBody(signed: Uint8Array): DatagramBody | undefined {
  const content = signed[0] === HOST_LIMITS.compressedMark
    ? decodeCompressed(signed.subarray(1))
    : signed;
  const parts = content && decodeValue(content);
  if (!Array.isArray(parts) || parts.length !== 4) {
    return undefined;
  }
  const [senderAddress, senderDataCentre, items, messages]: unknown[] = parts;
  return typeof senderAddress === "string" && typeof senderDataCentre === "string" &&
      senderDataCentre.length <= 200 &&
      Array.isArray(items) && items.length <= HOST_LIMITS.maxHosts && items.every(isItem) &&
      Array.isArray(messages) && messages.length <= HOST_LIMITS.maxMessages &&
      messages.every(isMessage)
    ? {
      senderAddress,
      senderDataCentre,
      items,
      messages: messages.map(([topic, payload]) => ({ topic, payload })),
    }
    : undefined;
}

function isItem(item: unknown): item is [number, Uint8Array] {
  return Array.isArray(item) && item.length === 2 && Number.isFinite(item[0]) && item[0] >= 0 &&
    item[1] instanceof Uint8Array;
}

function isMessage(message: unknown): message is [string, unknown] {
  return Array.isArray(message) && message.length === 2 && typeof message[0] === "string" &&
    message[0].length <= 64;
}

function decodeReport(bytes: Uint8Array): Pick<AgedReport, "report" | "isPartial"> | undefined {
  const fields = decodeValue(bytes);
  if (!Array.isArray(fields)) {
    return undefined;
  }
  const report = buildReport(fields);
  if (!isHostReport(report)) {
    return undefined;
  }
  const isPartial = fields[24] === undefined && report.protocolVersion !== 0;
  return { report: report as HostReport, ...(isPartial && { isPartial }) };
}

/** Names the fields of `HOST_REPORT_FIELDS`; missing ones have the schema's defaults. */
function buildReport(fields: readonly unknown[]): Record<keyof HostReport, unknown> {
  return {
    host: fields[0],
    incarnation: fields[1],
    sequence: fields[2],
    intervalMs: fields[3],
    dataCentre: fields[4],
    callerAddress: fields[5],
    peerAddress: fields[6],
    size: fields[7],
    isReady: fields[8],
    isLeaving: fields[9],
    settingsVersion: fields[10],
    settingsEra: fields[11],
    knownHosts: fields[12],
    knownInDataCentre: fields[13],
    upstreamsAgeMs: fields[14],
    loads: fields[15],
    conduct: fields[16],
    leaving: fields[17],
    joined: fields[18],
    limits: fields[19],
    brittle: fields[20],
    unreachableServices: fields[21],
    notices: fields[22],
    peers: fields[23],
    protocolVersion: fields[24] === undefined ? readIncarnationMark(fields[1]) : fields[24],
    evacuations: fields[25] === undefined ? [] : fields[25],
    cold: fields[26] === undefined ? [] : fields[26],
    waiting: fields[27] === undefined ? [] : fields[27],
  };
}

function decodeCompressed(bytes: Uint8Array): Uint8Array | undefined {
  try {
    return inflateRawSync(bytes, {
      ...HOST_LIMITS.inflation,
      maxOutputLength: HOST_LIMITS.maxInflatedBytes,
    });
  } catch {
    return undefined; // the body is not valid deflate data, or too long
  }
}

function decodeValue(body: Uint8Array): unknown {
  try {
    return unpack(body);
  } catch {
    return undefined; // the body is not valid msgpack
  }
}
