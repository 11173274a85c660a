import { EVACUATION_LIMITS } from "./constants.ts";

/** A generation that runs in an evacuated data centre and has sent an event. */
export interface EvacuatedRun {
  readonly id: string;
  readonly upstreamId: string;
  readonly remainingTokens: number;
  readonly isMigrating: boolean;
}

/** Input of {@link decideEvacuationMoves}. */
export interface EvacuationMoves {
  /** Time since this host learnt of the evacuation, in milliseconds. */
  readonly elapsedMs: number;
  /**
   * Drawn once from 0 to 1 for each evacuation. It shifts the moves of a host, so that hosts with
   * one or two generations each do not all move them at the same moment.
   */
  readonly phase: number;
  /** Moves that this host has started, failed ones included. */
  readonly started: number;
  /** Moves from one upstream that may be in progress at once. */
  readonly maxPerUpstream: number;
  readonly runs: readonly EvacuatedRun[];
}

/**
 * Decides which generations leave an evacuated data centre now; returns their ids. The moves are
 * spread evenly over the time for them, those with the longest remaining run first: the shortest may
 * complete where they are.
 */
export function decideEvacuationMoves(input: EvacuationMoves): string[] {
  const { elapsedMs, started } = input;
  if (elapsedMs >= EVACUATION_LIMITS.lastCallMs) {
    return [];
  }
  const waiting = input.runs.filter(({ isMigrating }) => !isMigrating)
    .sort((left, right) => right.remainingTokens - left.remainingTokens);
  const share = Math.min(1, elapsedMs / EVACUATION_LIMITS.moveSpreadMs);
  const due = share === 1
    ? waiting.length
    : Math.floor((started + waiting.length) * share + input.phase) - started;
  const migrating = new Map<string, number>();
  const countMigrating = (upstreamId: string) => migrating.get(upstreamId) ?? 0;
  for (const { upstreamId, isMigrating } of input.runs) {
    migrating.set(upstreamId, countMigrating(upstreamId) + Number(isMigrating));
  }
  const chosen: string[] = [];
  for (const { id, upstreamId } of waiting) {
    if (chosen.length >= due) {
      break;
    }
    if (countMigrating(upstreamId) < input.maxPerUpstream) {
      migrating.set(upstreamId, countMigrating(upstreamId) + 1);
      chosen.push(id);
    }
  }
  return chosen;
}
