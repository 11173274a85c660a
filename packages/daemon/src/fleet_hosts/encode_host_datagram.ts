import { deflateRawSync } from "node:zlib";
import { pack } from "msgpackr";
import { HOST_LIMITS } from "./constants.ts";
import type { HostMessage } from "./host_message.ts";
import { signDatagram } from "./sign_datagram.ts";

/** An encoded report and the time since its host sent it, in milliseconds. */
export interface EncodedReport {
  readonly bytes: Uint8Array;
  readonly ageMs: number;
}

/**
 * Encodes reports and messages of a sender as a signed datagram. Hosts whose reports have
 * `protocolVersion` 0 cannot read compressed ones.
 */
export function encodeHostDatagram(
  sender: { readonly address: string; readonly dataCentre: string },
  reports: readonly EncodedReport[],
  key: string,
  messages: readonly HostMessage[] = [],
  isCompressed = false,
): Uint8Array {
  const items = reports.map(({ bytes, ageMs }) => [Math.round(ageMs), bytes]);
  const parts = messages.map(({ topic, payload }) => [topic, payload]);
  const content = pack([sender.address, sender.dataCentre, items, parts]);
  const body = isCompressed
    ? Buffer.concat([
      Uint8Array.of(HOST_LIMITS.compressedMark),
      deflateRawSync(content, HOST_LIMITS.compression),
    ])
    : content;
  return Buffer.concat([signDatagram(body, key), body]);
}
