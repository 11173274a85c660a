import { ADMISSION_LIMITS } from "./constants.ts";

/** Upstreams marked as draining, from any source; marks expire within `leavingTtlMs`. */
export interface LeavingList {
  /** Marks an upstream as draining; returns true when it was not marked before. */
  markLeaving(upstream: string, nowMs: number, ttlMs?: number): boolean;
  /** Removes the mark; returns true when there was one. */
  clearLeaving(upstream: string, nowMs: number): boolean;
  isLeaving(upstream: string, nowMs: number): boolean;
  listLeaving(nowMs: number): readonly string[];
}

/** Creates the list. Beyond `maxLeaving` marks the oldest is evicted. */
export function createLeavingList(): LeavingList {
  const untilMs = new Map<string, number>();
  const isLeaving = (upstream: string, nowMs: number) =>
    (untilMs.get(upstream) ?? Number.NEGATIVE_INFINITY) > nowMs;
  return {
    markLeaving: (upstream, nowMs, ttlMs = ADMISSION_LIMITS.leavingTtlMs) => {
      const isNew = !isLeaving(upstream, nowMs);
      untilMs.delete(upstream);
      untilMs.set(upstream, nowMs + Math.min(ttlMs, ADMISSION_LIMITS.leavingTtlMs));
      if (untilMs.size > ADMISSION_LIMITS.maxLeaving) {
        untilMs.delete(untilMs.keys().next().value as string);
      }
      return isNew;
    },
    clearLeaving: (upstream, nowMs) => {
      const wasLeaving = isLeaving(upstream, nowMs);
      untilMs.delete(upstream);
      return wasLeaving;
    },
    isLeaving,
    listLeaving: (nowMs) => [...untilMs.keys()].filter((upstream) => isLeaving(upstream, nowMs)),
  };
}
