import { PLACEMENT_LIMITS } from "./constants.ts";

/** Promises of this host to support one slot owner of a data centre at a time. */
export interface SlotVoterState {
  /** Promises to support `candidate` for `promiseMs`, unless another one still has the promise. */
  tryPromise(dataCentre: string, candidate: string, nowMs: number): boolean;
}

interface SlotPromise {
  readonly candidate: string;
  readonly untilMs: number;
}

/**
 * Creates the promises of a started host. A restarted one has forgotten its promises, so it waits
 * until the longest of them has expired. One entry a data centre, so the list of hosts bounds it.
 */
export function createSlotVoterState(startedAtMs: number): SlotVoterState {
  const promises = new Map<string, SlotPromise>();
  const silentUntilMs = startedAtMs + PLACEMENT_LIMITS.promiseMs;
  return {
    tryPromise: (dataCentre, candidate, nowMs) => {
      const current = promises.get(dataCentre);
      const isTaken = current !== undefined && current.untilMs > nowMs &&
        current.candidate !== candidate;
      if (nowMs < silentUntilMs || isTaken) {
        return false;
      }
      promises.set(dataCentre, { candidate, untilMs: nowMs + PLACEMENT_LIMITS.promiseMs });
      return true;
    },
  };
}
