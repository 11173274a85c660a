import { EVACUATION_LIMITS } from "./constants.ts";

/** Whether the time is over in which a host may call an evacuated data centre to move generations. */
export function isPastLastCall(learntAtMs: number | undefined, nowMs: number): boolean {
  return learntAtMs !== undefined && nowMs - learntAtMs >= EVACUATION_LIMITS.lastCallMs;
}
