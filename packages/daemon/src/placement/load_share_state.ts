import { computeLoadShares } from "./compute_load_shares.ts";
import type { LoadShares } from "./compute_load_shares.ts";
import { PLACEMENT_LIMITS } from "./constants.ts";

/**
 * Shares of a weight store's slots; their sum never exceeds the slots while the published list of
 * hosts changes.
 */
export interface LoadShareState {
  /** Records the published number of slots and hosts of the data centre. */
  recordPublishedCounts(slots: number, hosts: number, nowMs: number): void;
  /**
   * Returns the smallest shares of the last window; no fixed share in the first window after a
   * start.
   */
  getShares(nowMs: number): LoadShares;
}

/** Maximum duration of a load plus the time until a changed list has reached every host. */
const WINDOW_MS = PLACEMENT_LIMITS.startTimeoutMs + PLACEMENT_LIMITS.maxLoadMs + 10_000;
/** Maximum number of stored changes; above it, the two oldest are merged to the smaller shares. */
const MAX_CHANGES = 64;

interface ShareChange extends LoadShares {
  /** Time until which these shares were in effect. */
  readonly untilMs: number;
}

/** Creates the state of a host that has just started. */
export function createLoadShareState(startedAtMs: number): LoadShareState {
  let current: LoadShares = { owner: 0, perHost: 0 };
  let earlierChanges: ShareChange[] = [];
  return {
    recordPublishedCounts: (slots, hosts, nowMs) => {
      const next = computeLoadShares(slots, hosts);
      if (next.owner === current.owner && next.perHost === current.perHost) {
        return;
      }
      earlierChanges.push({ ...current, untilMs: nowMs });
      earlierChanges = earlierChanges.filter((change) => change.untilMs > nowMs - WINDOW_MS);
      if (earlierChanges.length > MAX_CHANGES) {
        const [first, second, ...rest] = earlierChanges as [ShareChange, ShareChange];
        earlierChanges = [{ ...mergeShares(first, second), untilMs: second.untilMs }, ...rest];
      }
      current = next;
    },
    getShares: (nowMs) => {
      const shares = earlierChanges
        .filter((change) => change.untilMs > nowMs - WINDOW_MS && change.untilMs > startedAtMs)
        .reduce(mergeShares, current);
      return nowMs - startedAtMs < WINDOW_MS ? { ...shares, perHost: 0 } : shares;
    },
  };
}

function mergeShares(left: LoadShares, right: LoadShares): LoadShares {
  return {
    owner: Math.min(left.owner, right.owner),
    perHost: Math.min(left.perHost, right.perHost),
  };
}
