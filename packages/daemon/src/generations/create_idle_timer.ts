import type { Clock, Timer } from "@crocussail/protocol";
import { decideTimeout } from "./decide_timeout.ts";

/** Options of {@link createIdleTimer}. */
export interface IdleTimerOptions {
  readonly clock: Clock;
  readonly limitMs: number;
  readonly pauseThresholdMs: number;
  /** Called once when `limitMs` has passed without activity. */
  readonly handleExpiry: () => void;
}

/** Timeout that is extended by activity. */
export interface IdleTimer {
  /** Records activity without restarting the underlying timer, so that it is cheap. */
  touch(): void;
  stop(): void;
}

/** Creates and starts an idle timer. */
export function createIdleTimer(options: IdleTimerOptions): IdleTimer {
  const { clock, limitMs, pauseThresholdMs } = options;
  let lastActivityMs = clock.readMonotonicMs();
  let timer: Timer | undefined;

  const startTimer = (delayMs: number) => {
    const dueMs = clock.readMonotonicMs() + delayMs;
    timer = clock.startTimer(delayMs, () => handleTimer(dueMs));
  };
  const handleTimer = (dueMs: number) => {
    const nowMs = clock.readMonotonicMs();
    const effect = decideTimeout({
      lastActivityMs,
      dueMs,
      nowMs,
      limitMs,
      pauseThresholdMs,
    });
    if (effect.type === "wait") {
      startTimer(effect.delayMs);
      return;
    }
    options.handleExpiry();
  };
  startTimer(limitMs);
  return {
    touch: () => {
      lastActivityMs = clock.readMonotonicMs();
    },
    stop: () => timer?.cancel(),
  };
}
