import { pack } from "msgpackr";
import { MEMBERSHIP_LIMITS } from "./constants.ts";
import type { HeartbeatPayloadSource } from "./membership.ts";

/** Payloads of one heartbeat and their sizes. */
export interface CollectedPayloads {
  readonly payloads: readonly (readonly [string, unknown])[];
  /** Encoded size of each payload in bytes, by name; the omitted ones included. */
  readonly bytes: ReadonlyMap<string, number>;
  /** Names of the payloads that did not fit. */
  readonly omitted: readonly string[];
}

/** Collects the payloads in order of registration, up to `maxPayloadBytes` in total. */
export function collectPayloads(sources: readonly HeartbeatPayloadSource[]): CollectedPayloads {
  const payloads: (readonly [string, unknown])[] = [];
  const bytes = new Map<string, number>();
  const omitted: string[] = [];
  let total = 0;
  for (const rider of sources) {
    const payload = rider.collectPayload();
    if (payload === undefined) {
      continue;
    }
    const size = pack([rider.name, payload]).length;
    bytes.set(rider.name, size);
    if (total + size > MEMBERSHIP_LIMITS.maxPayloadBytes) {
      omitted.push(rider.name);
      continue;
    }
    total += size;
    payloads.push([rider.name, payload]);
  }
  return { payloads, bytes, omitted };
}
