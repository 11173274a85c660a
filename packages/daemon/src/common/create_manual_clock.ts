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

  const findNext = (untilMs: number): PendingTimer | undefined =>
    [...timers]
      .filter((timer) => timer.dueMs <= untilMs)
      .sort((left, right) => left.dueMs - right.dueMs)[0];

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
