import { encodeNotice } from "./encode_notice.ts";
import type { Heartbeat } from "./heartbeat.ts";
import type { WireHeartbeat } from "./heartbeat_schema.ts";

const WOKEN_FLAG = 8;

/** Renders a heartbeat with the riders' payloads for the wire. */
export function encodeHeartbeat(
  beat: Heartbeat,
  riders: readonly (readonly [string, unknown])[],
): WireHeartbeat {
  return [
    beat.incarnation,
    beat.counter,
    beat.status + (beat.isWoken ? WOKEN_FLAG : 0),
    beat.digest,
    beat.updates.flatMap(({ id, incarnation, counter, status }) => [
      id,
      incarnation,
      counter,
      status,
    ]),
    beat.notices.map(encodeNotice),
    riders.flat(),
  ];
}
