import { computeLoadShares } from "./compute_load_shares.ts";
import type { LoadShares } from "./compute_load_shares.ts";
import { PLACEMENT_LIMITS } from "./constants.ts";

/** Shares of the weight store's slots that stay safe while the published list of hosts changes. */
export interface LoadShareState {
  /** Records the published number of slots and hosts of the data centre. */
  observeList(slots: number, hosts: number, nowMs: number): void;
  /**
   * Returns the smallest shares of the last window; no fixed share in the first window after a
   * start.
   */
  getShares(nowMs: number): LoadShares;
}

/** Maximum duration of a load plus the time until a changed list has reached every host. */
const WINDOW_MS = PLACEMENT_LIMITS.startByMs + PLACEMENT_LIMITS.maxLoadMs + 10_000;
/** Maximum changes kept; beyond, the two oldest are merged into the smaller of their shares. */
const MAX_CHANGES = 64;

interface ShareChange extends LoadShares {
  /** Time until which these shares were in effect. */
  readonly untilMs: number;
}

/** Creates the state of a host that has just started. */
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
