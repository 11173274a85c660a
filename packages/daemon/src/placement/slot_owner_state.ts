import { PLACEMENT_LIMITS } from "./constants.ts";

/** A granted load. */
export interface SlotGrant {
  /** Identity of the grant; a release names it. */
  readonly lease: number;
}

/** Slot counter of one data centre, on the host that counts. */
export interface SlotOwnerState {
  /** Starts a round of votes among the published hosts; returns its number. */
  startRound(voterCount: number, nowMs: number): number;
  /** Counts a promise; votes of earlier rounds are ignored. */
  observeVote(round: number, voter: string): void;
  /** Grants a load to an engine while fewer than `slots` are out. */
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

interface HeldGrant extends SlotGrant {
  readonly requester: string;
  readonly expiresAtMs: number;
}

/** Time after which every load of an earlier owner has ended. */
const DRAIN_MS = PLACEMENT_LIMITS.startByMs + PLACEMENT_LIMITS.maxLoadMs;

/**
 * Creates a counter that grants nothing yet. It grants only while a majority of the published
 * hosts has promised to support no other owner, and after the loads of any earlier owner have
 * ended; so two owners never have grants out at once.
 */
export function createSlotOwnerState(): SlotOwnerState {
  const grants = new Map<string, HeldGrant>();
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
  /** Extends the ownership from the start of the round, which is before any of its votes. */
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
    releaseGrant: (engine, released) => {
      if (grants.get(engine)?.lease === released) {
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
