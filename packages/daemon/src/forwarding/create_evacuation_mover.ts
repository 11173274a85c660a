import { estimateRemainingTokens } from "../balancing/mod.ts";
import { decideEvacuationMoves, isPastLastCall } from "../evacuation/mod.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun } from "./generation_run.ts";

/** Options of {@link createEvacuationMover}. */
export interface EvacuationMoverOptions {
  readonly context: Pick<ForwardingContext, "upstreams" | "random" | "logger">;
  readonly listRuns: () => Iterable<GenerationRun>;
  readonly migrate: (run: GenerationRun) => void;
}

/** Moves generations out of evacuated data centres. */
export interface EvacuationMover {
  tick(nowMs: number): void;
}

/** Progress of one evacuation on this host. */
interface Progress {
  readonly learntAtMs: number;
  readonly phase: number;
  started: number;
  isOver: boolean;
}

/** Creates the mover. It has one entry for each evacuated data centre. */
export function createEvacuationMover(options: EvacuationMoverOptions): EvacuationMover {
  const { context: { upstreams, random, logger }, listRuns, migrate } = options;
  const progresses = new Map<string, Progress>();

  const getProgress = (dataCentre: string, learntAtMs: number): Progress => {
    const known = progresses.get(dataCentre);
    if (known?.learntAtMs === learntAtMs) {
      return known;
    }
    const progress = { learntAtMs, phase: random.nextFloat(), started: 0, isOver: false };
    progresses.set(dataCentre, progress);
    return progress;
  };
  const moveFrom = (dataCentre: string, progress: Progress, nowMs: number) => {
    const affected = [...listRuns()].filter(({ upstream }) =>
      upstream?.record.dataCentre === dataCentre
    );
    // The moves off a draining engine are not spread: it ends within two seconds.
    const runs = affected.filter(({ phase, upstream, inFlight, isMigrating, hasLateTarget }) =>
      !hasLateTarget && upstreams.upstreams.get(upstream?.record.id ?? "")?.status !== "leaving" &&
      (isMigrating || (phase === "running" && inFlight?.isPrefilling === false))
    );
    const chosen = new Set(decideEvacuationMoves({
      elapsedMs: nowMs - progress.learntAtMs,
      phase: progress.phase,
      started: progress.started,
      maxPerUpstream: FORWARDING_LIMITS.maxMigrationsPerUpstream,
      runs: runs.map(({ request, upstream, inFlight, isMigrating }) => ({
        id: request.requestId,
        upstreamId: upstream?.record.id ?? "",
        remainingTokens: inFlight === undefined ? 0 : estimateRemainingTokens(inFlight),
        isMigrating,
      })),
    }));
    progress.started += chosen.size;
    runs.filter(({ request }) => chosen.has(request.requestId)).forEach(migrate);
    if (!progress.isOver && isPastLastCall(progress.learntAtMs, nowMs)) {
      progress.isOver = true;
      const { started } = progress;
      logger.writeEvent("evacuationMovesOver", { dataCentre, started, running: affected.length });
    }
  };

  return {
    tick: (nowMs) => {
      for (const dataCentre of progresses.keys()) {
        if (!upstreams.evacuated.has(dataCentre)) {
          progresses.delete(dataCentre);
        }
      }
      for (const [dataCentre, learntAtMs] of upstreams.evacuated) {
        moveFrom(dataCentre, getProgress(dataCentre, learntAtMs), nowMs);
      }
    },
  };
}
