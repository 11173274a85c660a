import { PLACEMENT_LIMITS } from "./constants.ts";

/** Grant of one load. */
export interface SlotGrant {
  /** Number of the grant; a release must contain it. */
  readonly lease: number;
}

/** Slot counter of one data centre, on the slot owner. */
export interface SlotOwnerState {
  /** Starts a voting round among the published hosts; returns its number. */
  startRound(voterCount: number, nowMs: number): number;
  /** Counts a promise; votes of earlier rounds are ignored. */
  observeVote(round: number, voter: string): void;
  /** Grants a load to an engine while fewer than `slots` grants are active. */
  tryGrant(input: {
    readonly engine: string;
    readonly requester: string;
    readonly slots: number;
    readonly nowMs: number;
  }): SlotGrant | undefined;
  releaseGrant(engine: string, lease: number): void;
  isActive(nowMs: number): boolean;
  countGrants(nowMs: number): number;
}

interface ActiveGrant extends SlotGrant {
  readonly requester: string;
  readonly expiresAtMs: number;
}

/** Time after which every load of an earlier owner has ended. */
const DRAIN_MS = PLACEMENT_LIMITS.startTimeoutMs + PLACEMENT_LIMITS.maxLoadMs;

/**
 * Creates a counter without ownership. It grants only while a majority of the published hosts has
 * promised to accept no other owner, and after the loads of any earlier owner have ended, so two
 * owners never have active grants at the same time.
 */
export function createSlotOwnerState(): SlotOwnerState {
  const grants = new Map<string, ActiveGrant>();
  let round = 0;
  let roundAtMs = 0;
  let majority = 1;
  let voters = new Set<string>();
  let activeUntilMs = Number.NEGATIVE_INFINITY;
  let grantsFromMs = Number.POSITIVE_INFINITY;
  let lease = 0;

  const isActive = (nowMs: number) => nowMs < activeUntilMs;
  const dropExpired = (nowMs: number) => {
    for (const [engine, grant] of grants) {
      if (grant.expiresAtMs <= nowMs) {
        grants.delete(engine);
      }
    }
  };
  /**
   * Extends the ownership, counted from the start of the round, which precedes all of its votes.
   */
  const extendOwnership = () => {
    const wasInterrupted = roundAtMs >= activeUntilMs;
    activeUntilMs = Math.max(activeUntilMs, roundAtMs + PLACEMENT_LIMITS.ownerMs);
    if (wasInterrupted) {
      grantsFromMs = activeUntilMs + DRAIN_MS;
    }
  };

  return {
    startRound: (voterCount, nowMs) => {
      round += 1;
      roundAtMs = nowMs;
      majority = Math.floor(voterCount / 2) + 1;
      voters = new Set();
      return round;
    },
    observeVote: (votedRound, voter) => {
      if (votedRound !== round || voters.has(voter)) {
        return;
      }
      voters.add(voter);
      if (voters.size === majority) {
        extendOwnership();
      }
    },
    tryGrant: ({ engine, requester, slots, nowMs }) => {
      if (!isActive(nowMs) || nowMs < grantsFromMs) {
        return undefined;
      }
      dropExpired(nowMs);
      if (grants.has(engine) || grants.size >= slots) {
        return undefined;
      }
      lease += 1;
      grants.set(engine, { lease, requester, expiresAtMs: nowMs + DRAIN_MS });
      return { lease };
    },
    releaseGrant: (engine, releasedLease) => {
      if (grants.get(engine)?.lease === releasedLease) {
        grants.delete(engine);
      }
    },
    isActive,
    countGrants: (nowMs) => {
      dropExpired(nowMs);
      return grants.size;
    },
  };
}
