import { pack } from "msgpackr";
import { MEMBERSHIP_LIMITS } from "./constants.ts";
import type { HeartbeatRider } from "./membership.ts";

/** Payloads of one heartbeat and what they weigh. */
export interface CollectedRiders {
  readonly payloads: readonly (readonly [string, unknown])[];
  /** Encoded bytes of each payload. */
  readonly bytes: ReadonlyMap<string, number>;
  /** Riders whose payload did not fit. */
  readonly leftOut: readonly string[];
}

/** Collects the riders' payloads in order of registration, up to `maxRiderBytes` together. */
export function collectRiders(riders: readonly HeartbeatRider[]): CollectedRiders {
  const payloads: (readonly [string, unknown])[] = [];
  const bytes = new Map<string, number>();
  const leftOut: string[] = [];
  let total = 0;
  for (const rider of riders) {
    const payload = rider.collectPayload();
    if (payload === undefined) {
      continue;
    }
    const size = pack([rider.name, payload]).length;
    bytes.set(rider.name, size);
    if (total + size > MEMBERSHIP_LIMITS.maxRiderBytes) {
      leftOut.push(rider.name);
      continue;
    }
    total += size;
    payloads.push([rider.name, payload]);
  }
  return { payloads, bytes, leftOut };
}
