import { PLACEMENT_LIMITS } from "./constants.ts";

/** Promises of this host to accept only one slot owner of a data centre at a time. */
export interface SlotVoterState {
  /**
   * Promises to accept only `candidate` for `promiseMs`; fails while a promise to another is valid.
   */
  tryPromise(dataCentre: string, candidate: string, nowMs: number): boolean;
}

interface SlotPromise {
  readonly candidate: string;
  readonly untilMs: number;
}

/**
 * Creates the state of a host that has just started. A restart loses the promises, so the host
 * gives none until the longest of them has expired. Has one entry per data centre, so the list of
 * hosts bounds it.
 */
export function createSlotVoterState(startedAtMs: number): SlotVoterState {
  const promises = new Map<string, SlotPromise>();
  const noVotesUntilMs = startedAtMs + PLACEMENT_LIMITS.promiseMs;
  return {
    tryPromise: (dataCentre, candidate, nowMs) => {
      const current = promises.get(dataCentre);
      const isTaken = current !== undefined && current.untilMs > nowMs &&
        current.candidate !== candidate;
      if (nowMs < noVotesUntilMs || isTaken) {
        return false;
      }
      promises.set(dataCentre, { candidate, untilMs: nowMs + PLACEMENT_LIMITS.promiseMs });
      return true;
    },
  };
}
