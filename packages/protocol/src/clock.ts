import type { Timer } from "./timer.ts";

/** Source of time. Every decision takes the time from a clock or as an argument. */
export interface Clock {
  /** Current wall-clock time; only for values shown to people or callers. */
  readWallTime(): Date;
  /** Milliseconds of the monotonic clock; used for every timeout. */
  readMonotonicMs(): number;
  /** Calls `callback` once after `delayMs` unless the timer is cancelled. */
  startTimer(delayMs: number, callback: () => void): Timer;
}
