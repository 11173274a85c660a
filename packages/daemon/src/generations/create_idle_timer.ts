import type { Clock, Timer } from "@crocussail/protocol";
import { decideTimeout } from "./decide_timeout.ts";

/** Options of {@link createIdleTimer}. */
export interface IdleTimerOptions {
  readonly clock: Clock;
  readonly limitMs: number;
  readonly pauseMs: number;
  /** Called once when the limit has passed without a touch. */
  readonly handleExpiry: () => void;
}

/** Timeout that progress moves on. */
export interface IdleTimer {
  /** Notes progress; cheap, the running timer is kept. */
  touch(): void;
  stop(): void;
}

/** Creates and starts an idle timer. */
export function createIdleTimer(options: IdleTimerOptions): IdleTimer {
  const { clock, limitMs, pauseMs } = options;
  let touchedMs = clock.readMonotonicMs();
  let timer: Timer | undefined;

  const startTimer = (delayMs: number) => {
    const dueMs = clock.readMonotonicMs() + delayMs;
    timer = clock.startTimer(delayMs, () => handleTimer(dueMs));
  };
  const handleTimer = (dueMs: number) => {
    const nowMs = clock.readMonotonicMs();
    const effect = decideTimeout({ touchedMs, dueMs, nowMs, limitMs, pauseMs });
    if (effect.type === "wait") {
      startTimer(effect.delayMs);
      return;
    }
    options.handleExpiry();
  };
  startTimer(limitMs);
  return {
    touch: () => {
      touchedMs = clock.readMonotonicMs();
    },
    stop: () => timer?.cancel(),
  };
}
