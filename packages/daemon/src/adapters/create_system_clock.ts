import type { Clock } from "@crocussail/protocol";

/** Creates a clock that reads the clocks of the operating system. */
export function createSystemClock(): Clock {
  return {
    readWallTime: () => new Date(),
    readMonotonicMs: () => performance.now(),
    startTimer: (delayMs, callback) => {
      const handle = setTimeout(callback, delayMs);
      return { cancel: () => clearTimeout(handle) };
    },
  };
}
