import { createIdleTimer } from "./create_idle_timer.ts";
import type { RelayOptions } from "./relay_options.ts";

/** Waits for the caller's connection to drain or close; resolves to false after `slowCallerMs`. */
export function waitForCaller(
  options: Pick<RelayOptions, "clock" | "limits" | "writer" | "setInterrupt">,
): Promise<boolean> {
  const { clock, limits, writer } = options;
  return new Promise((resolve) => {
    const timer = createIdleTimer({
      clock,
      limitMs: limits.slowCallerMs,
      pauseThresholdMs: limits.pauseThresholdMs,
      handleExpiry: () => resolve(false),
    });
    const settle = () => {
      timer.stop();
      resolve(true);
    };
    options.setInterrupt(settle);
    writer.waitForDrain().then(settle);
  });
}
