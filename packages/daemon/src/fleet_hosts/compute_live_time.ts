import { HOST_LIMITS } from "./constants.ts";

/** Computes from a host's report interval how many milliseconds it is live after a report. */
export function computeLiveTime(intervalMs: number): number {
  return Math.max(HOST_LIMITS.liveMs, intervalMs * HOST_LIMITS.liveIntervals);
}
