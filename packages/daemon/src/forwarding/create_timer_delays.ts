import type { Clock } from "@crocussail/protocol";

/** Delays of this host's timers, which show whether it gets the processor when it needs it. */
export interface TimerDelays {
  /** Records that a timer has fired, which was due at `dueAtMs`. */
  recordTimer(dueAtMs: number): void;
  /** Whether a timer has recently been so late that a short wait may take much longer. */
  isLate(): boolean;
}

const LATE_MS = 100;
/** Time for which one late timer counts. */
const RECENT_MS = 3_000;

/** Creates the record of delays. Its state is the time of the last late timer. */
export function createTimerDelays(clock: Pick<Clock, "readMonotonicMs">): TimerDelays {
  let lateAtMs = Number.NEGATIVE_INFINITY;
  return {
    recordTimer: (dueAtMs) => {
      const nowMs = clock.readMonotonicMs();
      if (nowMs - dueAtMs >= LATE_MS) {
        lateAtMs = nowMs;
      }
    },
    isLate: () => clock.readMonotonicMs() - lateAtMs < RECENT_MS,
  };
}
