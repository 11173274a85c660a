import type { Heartbeat } from "./heartbeat.ts";
import { heartbeatSchema } from "./heartbeat_schema.ts";
import { MEMBER_STATUS } from "./member_status.ts";
import type { MemberStatus } from "./member_status.ts";
import type { MemberUpdate } from "./member_update.ts";

const AFTER_PAUSE_FLAG = 8;
const UPDATE_LENGTH = 4;

/** A heartbeat and its unvalidated payloads by name. */
export interface DecodedHeartbeat {
  readonly beat: Heartbeat;
  readonly payloads: ReadonlyMap<string, unknown>;
}

/** Decodes and validates a received heartbeat; returns undefined when it is malformed. */
export function decodeHeartbeat(message: unknown): DecodedHeartbeat | undefined {
  const parsed = heartbeatSchema.safeParse(message);
  if (!parsed.success) {
    return undefined;
  }
  const [incarnation, counter, flags, digest, flatUpdates, notices, flatPayloads] = parsed.data;
  return {
    beat: {
      incarnation,
      counter,
      status: toStatus(flags % AFTER_PAUSE_FLAG),
      isAfterPause: flags >= AFTER_PAUSE_FLAG,
      digest,
      updates: decodeUpdates(flatUpdates),
      notices: notices.map(([topic, key, origin, ttlMs, payload]) => ({
        topic,
        key,
        origin,
        ttlMs,
        payload,
      })),
    },
    payloads: decodePayloads(flatPayloads),
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

function decodePayloads(flat: readonly unknown[]): Map<string, unknown> {
  const payloads = new Map<string, unknown>();
  for (let index = 0; index + 1 < flat.length; index += 2) {
    payloads.set(String(flat[index]), flat[index + 1]);
  }
  return payloads;
}

/** Treats an unknown status as a suspicion, which the member then refutes. */
function toStatus(value: number): MemberStatus {
  return value <= MEMBER_STATUS.left ? value as MemberStatus : MEMBER_STATUS.suspect;
}
