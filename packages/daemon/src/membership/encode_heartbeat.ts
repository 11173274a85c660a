import { encodeNotice } from "./encode_notice.ts";
import type { Heartbeat } from "./heartbeat.ts";
import type { WireHeartbeat } from "./heartbeat_schema.ts";

const AFTER_PAUSE_FLAG = 8;

/** Encodes a heartbeat and its payloads for the wire. */
export function encodeHeartbeat(
  beat: Heartbeat,
  payloads: readonly (readonly [string, unknown])[],
): WireHeartbeat {
  return [
    beat.incarnation,
    beat.counter,
    beat.status + (beat.isAfterPause ? AFTER_PAUSE_FLAG : 0),
    beat.digest,
    beat.updates.flatMap(({ id, incarnation, counter, status }) => [
      id,
      incarnation,
      counter,
      status,
    ]),
    beat.notices.map(encodeNotice),
    payloads.flat(),
  ];
}
