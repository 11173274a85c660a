import { computeLoadShares } from "./compute_load_shares.ts";
import type { LoadShares } from "./compute_load_shares.ts";
import { PLACEMENT_LIMITS } from "./constants.ts";

/** Shares of the weight store's slots that are safe while the published list changes. */
export interface LoadShareState {
  /** Notes the published number of slots and hosts of the data centre. */
  observeList(slots: number, hosts: number, nowMs: number): void;
  /** Smallest shares of the last window; no fixed share in the first one after the start. */
  getShares(nowMs: number): LoadShares;
}

/** Longest load, with the time that a changed list needs to reach every host. */
const WINDOW_MS = PLACEMENT_LIMITS.startByMs + PLACEMENT_LIMITS.maxLoadMs + 10_000;
/** Changes of the list remembered; beyond, the two oldest are merged into their smaller shares. */
const MAX_CHANGES = 64;

interface ShareChange extends LoadShares {
  /** Time until which these shares were in force. */
  readonly untilMs: number;
}

/** Creates the shares of a started host. */
export function createLoadShareState(startedAtMs: number): LoadShareState {
  let current: LoadShares = { owner: 0, perHost: 0 };
  let earlier: ShareChange[] = [];
  return {
    observeList: (slots, hosts, nowMs) => {
      const next = computeLoadShares(slots, hosts);
      if (next.owner === current.owner && next.perHost === current.perHost) {
        return;
      }
      earlier.push({ ...current, untilMs: nowMs });
      earlier = earlier.filter((change) => change.untilMs > nowMs - WINDOW_MS);
      if (earlier.length > MAX_CHANGES) {
        const [first, second, ...rest] = earlier as [ShareChange, ShareChange];
        earlier = [{ ...mergeShares(first, second), untilMs: second.untilMs }, ...rest];
      }
      current = next;
    },
    getShares: (nowMs) => {
      const shares = earlier
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
