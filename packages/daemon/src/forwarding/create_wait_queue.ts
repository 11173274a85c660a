import { FORWARDING_LIMITS } from "./constants.ts";

/** A request that waits for room on an upstream. */
export interface WaitQueueEntry {
  /** Priority; 0 is the highest. */
  readonly priority: number;
  readonly arrivedMs: number;
  /** Time until which it can start within its target; afterwards it ranks behind all others. */
  readonly targetDeadlineMs: number;
  readonly expiresMs: number;
  /** Places the request on an upstream; returns false if none has room. */
  readonly tryPlace: () => boolean;
  readonly expire: () => void;
}

/** Bounded queue of this host's requests that wait for room on an upstream. */
export interface WaitQueue {
  /** Returns false when the queue is full. */
  add(entry: WaitQueueEntry): boolean;
  /**
   * Places at most one request and expires those that have waited too long. Only one is placed at a
   * time, so that the other hosts receive the new load before this host uses more of the same room.
   */
  update(nowMs: number): void;
  count(): number;
}

/** Creates an empty queue. It absorbs short bursts of load beyond the engines' capacity. */
export function createWaitQueue(): WaitQueue {
  let entries: WaitQueueEntry[] = [];
  return {
    add: (entry) => {
      if (entries.length >= FORWARDING_LIMITS.maxQueued) {
        return false;
      }
      entries.push(entry);
      return true;
    },
    update: (nowMs) => {
      if (entries.length === 0) {
        return;
      }
      const rank = (entry: WaitQueueEntry) => Number(nowMs > entry.targetDeadlineMs);
      const ordered = entries.toSorted((left, right) =>
        rank(left) - rank(right) || left.priority - right.priority ||
        left.arrivedMs - right.arrivedMs
      );
      let hasPlaced = false;
      for (const entry of ordered) {
        const isPlaced: boolean = !hasPlaced && entry.tryPlace();
        hasPlaced ||= isPlaced;
        if (!isPlaced && nowMs < entry.expiresMs) {
          continue;
        }
        entries = entries.filter((other) => other !== entry);
        if (!isPlaced) {
          entry.expire();
        }
      }
    },
    count: () => entries.length,
  };
}
