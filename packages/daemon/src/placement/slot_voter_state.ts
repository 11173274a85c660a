import { PLACEMENT_LIMITS } from "./constants.ts";

/** Promises of this host to accept only one slot owner of a data centre at a time. */
export interface SlotVoterState {
  /**
   * Promises to accept only `candidate` for `promiseMs`; returns false while a promise to another
   * candidate may be valid, also one that was given before a restart.
   */
  tryPromise(dataCentre: string, candidate: string, nowMs: number): boolean;
}

interface SlotPromise {
  readonly candidate: string;
  readonly untilMs: number;
}

/**
 * Creates the state of a host that has just started. A restart loses the promises, so the host
 * gives none until the longest of them has expired. The map has at most one entry for each data
 * centre whose hosts are published.
 */
export function createSlotVoterState(startedAtMs: number): SlotVoterState {
  const promises = new Map<string, SlotPromise>();
  const noPromisesUntilMs = startedAtMs + PLACEMENT_LIMITS.promiseMs;
  return {
    tryPromise: (dataCentre, candidate, nowMs) => {
      const current = promises.get(dataCentre);
      const isTaken = current !== undefined && current.untilMs > nowMs &&
        current.candidate !== candidate;
      if (nowMs < noPromisesUntilMs || isTaken) {
        return false;
      }
      promises.set(dataCentre, { candidate, untilMs: nowMs + PLACEMENT_LIMITS.promiseMs });
      return true;
    },
  };
}
