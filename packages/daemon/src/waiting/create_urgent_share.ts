import { WAITING_LIMITS } from "./constants.ts";

/** Observes which share of the tokens started is of more urgent requests. */
export interface UrgentShare {
  recordStart(priority: number, tokens: number, nowMs: number): void;
  /** Returns the share of the tokens started lately that precede a priority. */
  getShareBefore(priority: number, nowMs: number): number;
}

/**
 * Creates the observation of this host's starts, in which the earlier ones weigh less. The hosts of a
 * fleet receive the same mix of requests, so it stands for the mix of all.
 */
export function createUrgentShare(): UrgentShare {
  const started = new Map<number, number>();
  let lastMs = Number.NEGATIVE_INFINITY;
  const decay = (nowMs: number) => {
    const factor = Math.exp((lastMs - nowMs) / WAITING_LIMITS.urgentShareMs);
    lastMs = nowMs;
    for (const [priority, tokens] of started) {
      started.set(priority, tokens * factor);
    }
  };
  return {
    recordStart: (priority, tokens, nowMs) => {
      decay(nowMs);
      const isKnown = started.has(priority);
      if (isKnown || started.size < WAITING_LIMITS.maxShares) {
        started.set(priority, (started.get(priority) ?? 0) + tokens);
      }
    },
    getShareBefore: (priority, nowMs) => {
      decay(nowMs);
      let total = 0;
      let before = 0;
      for (const [other, tokens] of started) {
        total += tokens;
        before += other < priority ? tokens : 0;
      }
      return total === 0 ? 0 : Math.min(WAITING_LIMITS.maxUrgentShare, before / total);
    },
  };
}
