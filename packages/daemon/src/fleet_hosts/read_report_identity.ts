/** Which report of a host a datagram contains. */
export interface ReportIdentity {
  readonly host: string;
  readonly incarnation: string;
  readonly sequence: number;
}

/**
 * Reads the first three fields of an encoded report without decoding the rest; undefined if they are
 * not encoded in the usual way, which says nothing about whether the report is valid.
 */
export function readReportIdentity(bytes: Uint8Array): ReportIdentity | undefined {
  const view = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const host = readText(view, locateFirstField(view));
  const incarnation = host && readText(view, host.end);
  const sequence = incarnation && readUnsigned(view, incarnation.end);
  return sequence === undefined || host === undefined || incarnation === undefined
    ? undefined
    : { host: host.text, incarnation: incarnation.text, sequence };
}

/** Locates the first element of a msgpack array; the end of the bytes if they are no array. */
function locateFirstField(bytes: Buffer): number {
  const type = bytes[0] ?? 0;
  return type >> 4 === 0x9 ? 1 : type === 0xdc ? 3 : bytes.length;
}

/** Reads a msgpack string of up to 255 bytes. */
function readText(bytes: Buffer, offset: number): { text: string; end: number } | undefined {
  const type = bytes[offset] ?? 0;
  const isShort = type >> 5 === 0x5;
  if (!isShort && type !== 0xd9) {
    return undefined;
  }
  const start = isShort ? offset + 1 : offset + 2;
  const end = start + (isShort ? type & 0x1f : bytes[offset + 1] ?? bytes.length);
  return end > bytes.length ? undefined : { text: bytes.toString("utf8", start, end), end };
}

/** Reads an unsigned msgpack integer of up to 32 bits. */
function readUnsigned(bytes: Buffer, offset: number): number | undefined {
  const type = bytes[offset];
  if (type !== undefined && type < 0x80) {
    return type;
  }
  const length = type === 0xcc ? 1 : type === 0xcd ? 2 : type === 0xce ? 4 : 0;
  return length === 0 || offset + 1 + length > bytes.length
    ? undefined
    : bytes.readUIntBE(offset + 1, length);
}
