import { ADMISSION_LIMITS } from "./constants.ts";

/** Signs that upstreams are leaving, from whatever source; each sign lasts for a bounded time. */
export interface LeavingList {
  /** Records a sign; true when it is news. */
  markLeaving(upstream: string, nowMs: number, ttlMs?: number): boolean;
  /** Takes the sign back; true when there was one. */
  clearLeaving(upstream: string, nowMs: number): boolean;
  isLeaving(upstream: string, nowMs: number): boolean;
  listLeaving(nowMs: number): readonly string[];
}

/** Creates the list; at its bound the oldest sign is dropped. */
export function createLeavingList(): LeavingList {
  const untilMs = new Map<string, number>();
  const isLeaving = (upstream: string, nowMs: number) =>
    (untilMs.get(upstream) ?? Number.NEGATIVE_INFINITY) > nowMs;
  return {
    markLeaving: (upstream, nowMs, ttlMs = ADMISSION_LIMITS.leavingTtlMs) => {
      const isNews = !isLeaving(upstream, nowMs);
      untilMs.delete(upstream);
      untilMs.set(upstream, nowMs + Math.min(ttlMs, ADMISSION_LIMITS.leavingTtlMs));
      if (untilMs.size > ADMISSION_LIMITS.maxLeaving) {
        untilMs.delete(untilMs.keys().next().value as string);
      }
      return isNews;
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
