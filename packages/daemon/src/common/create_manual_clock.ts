import type { Clock } from "@crocussail/protocol";

/** Clock that moves only when `advance` is called; for tests and measurements. */
export interface ManualClock extends Clock {
  /** Advances the time and fires the timers that become due, in the order of their due times. */
  advance(ms: number): void;
}

interface PendingTimer {
  readonly dueMs: number;
  readonly callback: () => void;
}

/** Creates a manual clock at monotonic time 0 and the start of 2026 in UTC. */
export function createManualClock(): ManualClock {
  const timers = new Set<PendingTimer>();
  const startMs = Date.UTC(2026, 0, 1);
  let nowMs = 0;

  /** Finds the timer that is due first; of timers due at the same time, the one started first. */
  const findNext = (untilMs: number): PendingTimer | undefined => {
    let next: PendingTimer | undefined;
    for (const timer of timers) {
      if (timer.dueMs <= untilMs && (next === undefined || timer.dueMs < next.dueMs)) {
        next = timer;
      }
    }
    return next;
  };

  return {
    readWallTime: () => new Date(startMs + nowMs),
    readMonotonicMs: () => nowMs,
    startTimer: (delayMs, callback) => {
      const timer = { dueMs: nowMs + delayMs, callback };
      timers.add(timer);
      return { cancel: () => timers.delete(timer) };
    },
    advance: (ms) => {
      const untilMs = nowMs + ms;
      for (let next = findNext(untilMs); next !== undefined; next = findNext(untilMs)) {
        timers.delete(next);
        nowMs = next.dueMs;
        next.callback();
      }
      nowMs = untilMs;
    },
  };
}
