import { FORWARDING_LIMITS } from "./constants.ts";

/** A request that waits for room on an upstream. */
export interface WaitQueueEntry {
  /** Priority; 0 is the highest. */
  readonly priority: number;
  /** Monotonic time at which its head was received. */
  readonly arrivedAtMs: number;
  /** Monotonic time until which it can start within its target; afterwards it is ordered last. */
  readonly targetDeadlineAtMs: number;
  /** Monotonic time after which it no longer waits. */
  readonly expiresAtMs: number;
  /** Places the request on an upstream; returns false if none has room. */
  readonly tryPlace: () => boolean;
  /** Responds to the request that it has waited too long. */
  readonly expire: () => void;
}

/** Bounded queue of this host's requests that wait for room on an upstream. */
export interface WaitQueue {
  /** Returns false when the queue is full. */
  add(entry: WaitQueueEntry): boolean;
  /**
   * Places at most one request and expires those that have waited too long. Only one is placed at a
   * time, so that the other hosts learn of this placement before this host uses more of the same
   * free capacity.
   */
  expireAndPlaceNext(nowMs: number): void;
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
    expireAndPlaceNext: (nowMs) => {
      if (entries.length === 0) {
        return;
      }
      const isPastTarget = (entry: WaitQueueEntry) => Number(nowMs > entry.targetDeadlineAtMs);
      const ordered = entries.toSorted((left, right) =>
        isPastTarget(left) - isPastTarget(right) || left.priority - right.priority ||
        left.arrivedAtMs - right.arrivedAtMs
      );
      let hasPlaced = false;
      for (const entry of ordered) {
        const isPlaced: boolean = !hasPlaced && entry.tryPlace();
        hasPlaced ||= isPlaced;
        if (!isPlaced && nowMs < entry.expiresAtMs) {
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
