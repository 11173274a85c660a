import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";

/** Limits of {@link createStreamSlots}. */
export interface StreamSlotLimits {
  /** Streams of all teams; further requests are refused. */
  readonly maxStreams: number;
  /** Delay named to a refused caller. */
  readonly streamRetryAfterMs: number;
}

/** Counts the streams that run or wait on this daemon. */
export interface StreamSlots {
  /** Takes a slot for a team; returns the function that gives it back. */
  takeSlot(team: string, maxTeamStreams: number): Either<ResultError, () => void>;
  countTaken(): number;
  dumpState(): unknown;
}

/** Creates the counter of streams. */
export function createStreamSlots(limits: StreamSlotLimits): StreamSlots {
  const byTeam = new Map<string, number>();
  let taken = 0;

  const returnSlot = (team: string) => {
    taken -= 1;
    const left = (byTeam.get(team) ?? 0) - 1;
    if (left <= 0) {
      byTeam.delete(team);
      return;
    }
    byTeam.set(team, left);
  };
  return {
    takeSlot: (team, maxTeamStreams) => {
      const retryAfterMs = limits.streamRetryAfterMs;
      const teamStreams = byTeam.get(team) ?? 0;
      if (teamStreams >= maxTeamStreams) {
        const detail = `team "${team}" has ${teamStreams} of ${maxTeamStreams} streams here`;
        return Left(createResultError("tooManyStreams", detail, { retryAfterMs }));
      }
      if (taken >= limits.maxStreams) {
        const detail = `this host has its limit of ${limits.maxStreams} streams`;
        return Left(createResultError("overloaded", detail, { retryAfterMs }));
      }
      taken += 1;
      byTeam.set(team, teamStreams + 1);
      let isReturned = false;
      return Right(() => {
        if (!isReturned) {
          isReturned = true;
          returnSlot(team);
        }
      });
    },
    countTaken: () => taken,
    dumpState: () => ({ taken, byTeam: Object.fromEntries(byTeam) }),
  };
}
