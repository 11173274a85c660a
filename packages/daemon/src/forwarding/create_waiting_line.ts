import { FORWARDING_LIMITS } from "./constants.ts";

/** A request that waits for room. */
export interface WaitingEntry {
  /** Rank; 0 goes first. */
  readonly priority: number;
  readonly arrivedMs: number;
  /** Time until which it can still begin within its target; later it goes behind all others. */
  readonly inTimeUntilMs: number;
  readonly giveUpMs: number;
  /** Places the request; false while there is no room. */
  readonly tryPlace: () => boolean;
  readonly giveUp: () => void;
}

/** Requests of this host that wait for room; at its bound a new one is not taken. */
export interface WaitingLine {
  /** Returns false when the line is full. */
  add(entry: WaitingEntry): boolean;
  /**
   * Places at most one request that has room now, and gives up what has waited too long. One at a
   * time, so that the other hosts hear of it before this one takes more of the same room.
   */
  update(nowMs: number): void;
  count(): number;
}

/** Creates an empty line. Answers load beyond the engines' room for a short while. */
export function createWaitingLine(): WaitingLine {
  let entries: WaitingEntry[] = [];
  return {
    add: (entry) => {
      if (entries.length >= FORWARDING_LIMITS.maxWaiting) {
        return false;
      }
      entries.push(entry);
      return true;
    },
    update: (nowMs) => {
      if (entries.length === 0) {
        return;
      }
      const rank = (entry: WaitingEntry) => Number(nowMs > entry.inTimeUntilMs);
      const ordered = entries.toSorted((left, right) =>
        rank(left) - rank(right) || left.priority - right.priority ||
        left.arrivedMs - right.arrivedMs
      );
      let hasPlaced = false;
      for (const entry of ordered) {
        const isPlaced: boolean = !hasPlaced && entry.tryPlace();
        hasPlaced ||= isPlaced;
        if (!isPlaced && nowMs < entry.giveUpMs) {
          continue;
        }
        entries = entries.filter((other) => other !== entry);
        if (!isPlaced) {
          entry.giveUp();
        }
      }
    },
    count: () => entries.length,
  };
}
