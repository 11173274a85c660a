/** Messages and timers of a model, run by due time; events due together run in insertion order. */
export interface EventTable {
  readNowMs(): number;
  schedule(delayMs: number, run: () => void): void;
  /** Runs every event that is due up to `untilMs`. */
  runUntil(untilMs: number): void;
}

/** Creates an empty table at time 0 with a resolution of one millisecond. */
export function createEventTable(): EventTable {
  const slots = new Map<number, (() => void)[]>();
  let nowMs = 0;
  return {
    readNowMs: () => nowMs,
    schedule: (delayMs, run) => {
      const dueMs = nowMs + Math.max(1, Math.ceil(delayMs));
      const slot = slots.get(dueMs);
      if (slot === undefined) {
        slots.set(dueMs, [run]);
      } else {
        slot.push(run);
      }
    },
    runUntil: (untilMs) => {
      while (nowMs < untilMs) {
        nowMs += 1;
        const slot = slots.get(nowMs) ?? [];
        slots.delete(nowMs);
        slot.forEach((run) => run());
      }
    },
  };
}
