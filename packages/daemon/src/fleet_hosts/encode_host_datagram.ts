import { pack } from "msgpackr";
import type { HostMessage } from "./host_message.ts";
import { signDatagram } from "./sign_datagram.ts";

/** An encoded report and the time since its host sent it, in milliseconds. */
export interface EncodedReport {
  readonly bytes: Uint8Array;
  readonly ageMs: number;
}

/** Encodes reports and messages of a sender as a signed datagram. */
export function encodeHostDatagram(
  sender: { readonly address: string; readonly dataCentre: string },
  reports: readonly EncodedReport[],
  key: string,
  messages: readonly HostMessage[] = [],
): Uint8Array {
  const items = reports.map(({ bytes, ageMs }) => [Math.round(ageMs), bytes]);
  const parts = messages.map(({ topic, payload }) => [topic, payload]);
  const body = pack([sender.address, sender.dataCentre, items, parts]);
  return Buffer.concat([signDatagram(body, key), body]);
}
