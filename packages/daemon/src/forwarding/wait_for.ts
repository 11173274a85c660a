import type { Clock } from "@crocussail/protocol";

/** Resolves after `delayMs` on the given clock. */
export function waitFor(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => clock.startTimer(delayMs, resolve));
}
