import { monitorEventLoopDelay } from "node:perf_hooks";
import process from "node:process";
import type { ProcessUsage } from "./process_usage.ts";

const MICROSECONDS_PER_MS = 1_000;
const NANOSECONDS_PER_MS = 1_000_000;

/** Creates a function that reads the resource usage of this process. */
export function createProcessUsageReader(): () => ProcessUsage {
  const delay = monitorEventLoopDelay();
  delay.enable();
  return () => {
    const { user, system } = process.cpuUsage();
    const loopDelayMs = delay.max / NANOSECONDS_PER_MS;
    delay.reset();
    return {
      cpuMs: (user + system) / MICROSECONDS_PER_MS,
      memoryBytes: process.memoryUsage().rss,
      loopDelayMs,
    };
  };
}
