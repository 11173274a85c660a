import { HOST_LIMITS } from "./constants.ts";

/** Computes how long a host counts as live after a report, in milliseconds, by its interval. */
export function computeLiveTime(intervalMs: number): number {
  return Math.max(HOST_LIMITS.liveMs, intervalMs * HOST_LIMITS.liveIntervals);
}
