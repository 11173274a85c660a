import type { Notice } from "./membership.ts";
import type { WireNotice } from "./notice_schema.ts";

/** Encodes a notice for the wire. */
export function encodeNotice(notice: Notice): WireNotice {
  return [notice.topic, notice.key, notice.origin, Math.round(notice.ttlMs), notice.payload];
}
