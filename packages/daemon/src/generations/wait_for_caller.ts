import { createIdleTimer } from "./create_idle_timer.ts";
import type { RelayOptions } from "./relay_options.ts";

/** Waits until the caller's connection has room; false when it stays full for too long. */
export function waitForCaller(
  options: Pick<RelayOptions, "clock" | "limits" | "writer" | "setInterrupt">,
): Promise<boolean> {
  const { clock, limits, writer } = options;
  return new Promise((resolve) => {
    const timer = createIdleTimer({
      clock,
      limitMs: limits.slowCallerMs,
      pauseMs: limits.pauseMs,
      handleExpiry: () => resolve(false),
    });
    const settle = () => {
      timer.stop();
      resolve(true);
    };
    options.setInterrupt(settle);
    writer.waitForRoom().then(settle);
  });
}
