import { WAITING_LIMITS } from "./constants.ts";
import type { WaitingHead } from "./waiting_head.ts";

/** Bounds the time for which this host keeps room free for one request of another host. */
export interface HeadBounds {
  /** Whether the request still counts; `doesFit` tells whether its host could place it now. */
  isInForce(head: WaitingHead, doesFit: boolean, nowMs: number): boolean;
}

interface HeldHead {
  readonly arrivedAtMs: number;
  /** Time since which its host could have placed it. */
  readonly fitsSinceMs: number | undefined;
  /** Time since which it has not fitted. */
  readonly reservedSinceMs: number | undefined;
}

/** Difference between two reports of one request's arrival: clocks and rounding. */
const SAME_ARRIVAL_MS = 30;

/**
 * Creates the bounds. A request that fits is placed by its host within its next check, and others
 * learn of it within a report age; after two report ages its host is taken to be unable to place
 * it. One that does not fit keeps room for `reserveMs`.
 */
export function createHeadBounds(): HeadBounds {
  const held = new Map<string, HeldHead>();
  return {
    isInForce: (head, doesFit, nowMs) => {
      const key = `${head.priority} ${head.service} ${head.host}`;
      const known = held.get(key);
      const isSame = known !== undefined &&
        Math.abs(known.arrivedAtMs - head.arrivedAtMs) < SAME_ARRIVAL_MS;
      const last = isSame ? known : undefined;
      const next = {
        arrivedAtMs: last?.arrivedAtMs ?? head.arrivedAtMs,
        fitsSinceMs: doesFit ? last?.fitsSinceMs ?? nowMs : undefined,
        reservedSinceMs: doesFit ? last?.reservedSinceMs : last?.reservedSinceMs ?? nowMs,
      };
      held.delete(key); // keeps the map ordered by the last use
      held.set(key, next);
      for (const oldest of held.keys()) {
        if (held.size <= WAITING_LIMITS.maxHeads) {
          break;
        }
        held.delete(oldest);
      }
      return doesFit
        ? nowMs - (next.fitsSinceMs ?? nowMs) <= 2 * WAITING_LIMITS.reportAgeMs
        : nowMs - (next.reservedSinceMs ?? nowMs) <= WAITING_LIMITS.reserveMs;
    },
  };
}
