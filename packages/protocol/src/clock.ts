import type { Timer } from "./timer.ts";

/** Source of time. Every decision takes its time from here or as an argument. */
export interface Clock {
  /** Current wall-clock time; only for values shown to people or callers. */
  readWallTime(): Date;
  /** Milliseconds on a clock that never steps; base of every timeout. */
  readMonotonicMs(): number;
  /** Calls `callback` once after `delayMs` unless the timer is cancelled. */
  startTimer(delayMs: number, callback: () => void): Timer;
}
