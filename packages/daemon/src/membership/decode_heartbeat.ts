import type { Heartbeat } from "./heartbeat.ts";
import { heartbeatSchema } from "./heartbeat_schema.ts";
import { MEMBER_STATUS } from "./member_status.ts";
import type { MemberStatus } from "./member_status.ts";
import type { MemberUpdate } from "./member_update.ts";

const WOKEN_FLAG = 8;
const UPDATE_LENGTH = 4;

/** A heartbeat with the riders' unchecked payloads by name. */
export interface DecodedHeartbeat {
  readonly beat: Heartbeat;
  readonly riders: ReadonlyMap<string, unknown>;
}

/** Checks a heartbeat from the wire; returns undefined when it is malformed. */
export function decodeHeartbeat(message: unknown): DecodedHeartbeat | undefined {
  const parsed = heartbeatSchema.safeParse(message);
  if (!parsed.success) {
    return undefined;
  }
  const [incarnation, counter, flags, digest, flat, notices, riders] = parsed.data;
  return {
    beat: {
      incarnation,
      counter,
      status: toStatus(flags % WOKEN_FLAG),
      isWoken: flags >= WOKEN_FLAG,
      digest,
      updates: decodeUpdates(flat),
      notices: notices.map(([topic, key, origin, ttlMs, payload]) => ({
        topic,
        key,
        origin,
        ttlMs,
        payload,
      })),
    },
    riders: decodeRiders(riders),
  };
}

function decodeUpdates(flat: readonly number[]): MemberUpdate[] {
  const updates: MemberUpdate[] = [];
  for (let index = 0; index + UPDATE_LENGTH <= flat.length; index += UPDATE_LENGTH) {
    const [id = 0, incarnation = 0, counter = 0, status = 0] = flat.slice(
      index,
      index + UPDATE_LENGTH,
    );
    updates.push({ id, incarnation, counter, status: toStatus(status) });
  }
  return updates;
}

function decodeRiders(flat: readonly unknown[]): Map<string, unknown> {
  const riders = new Map<string, unknown>();
  for (let index = 0; index + 1 < flat.length; index += 2) {
    riders.set(String(flat[index]), flat[index + 1]);
  }
  return riders;
}

/** An unknown state counts as a suspicion, which its member refutes. */
function toStatus(value: number): MemberStatus {
  return value <= MEMBER_STATUS.left ? value as MemberStatus : MEMBER_STATUS.suspect;
}
