import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";

/** Limits of {@link createStreamSlots}. */
export interface StreamSlotLimits {
  /** Maximum number of streams of all teams; further requests are refused. */
  readonly maxStreams: number;
  /** Retry delay sent to a refused caller. */
  readonly streamRetryAfterMs: number;
}

/** Limits the number of running and waiting streams on this daemon. */
export interface StreamSlots {
  /** Takes a slot for a team; returns the function that releases it. */
  takeSlot(team: string, maxTeamStreams: number): Either<ResultError, () => void>;
  countTaken(): number;
  dumpState(): unknown;
}

/** Creates the stream slots. */
export function createStreamSlots(limits: StreamSlotLimits): StreamSlots {
  const byTeam = new Map<string, number>();
  let taken = 0;

  const releaseSlot = (team: string) => {
    taken -= 1;
    const remaining = (byTeam.get(team) ?? 0) - 1;
    if (remaining <= 0) {
      byTeam.delete(team);
      return;
    }
    byTeam.set(team, remaining);
  };
  return {
    takeSlot: (team, maxTeamStreams) => {
      const retryAfterMs = limits.streamRetryAfterMs;
      const teamStreams = byTeam.get(team) ?? 0;
      if (teamStreams >= maxTeamStreams) {
        const detail =
          `team "${team}" uses ${teamStreams} of its ${maxTeamStreams} streams on this host`;
        return Left(createResultError("tooManyStreams", detail, { retryAfterMs }));
      }
      if (taken >= limits.maxStreams) {
        const detail = `this host has reached its limit of ${limits.maxStreams} streams`;
        return Left(createResultError("overloaded", detail, { retryAfterMs }));
      }
      taken += 1;
      byTeam.set(team, teamStreams + 1);
      let isReleased = false;
      return Right(() => {
        if (!isReleased) {
          isReleased = true;
          releaseSlot(team);
        }
      });
    },
    countTaken: () => taken,
    dumpState: () => ({ taken, byTeam: Object.fromEntries(byTeam) }),
  };
}
