import type { Clock } from "@crocussail/protocol";
import type { AdmissionOutcome } from "../admission/mod.ts";
import { createIdleTimer } from "./create_idle_timer.ts";
import type { IdleTimer } from "./create_idle_timer.ts";
import type { GenerationLimits } from "./generation_defaults.ts";
import type { Run } from "./run.ts";

/** Options of {@link createRunTable}. */
export interface RunTableOptions {
  readonly clock: Clock;
  readonly limits: GenerationLimits;
  /** Cancels a generation whose caller has not come back. */
  readonly cancelRun: (run: Run) => void;
}

/** The generations of this daemon; each has at most one stream to a caller. */
export interface RunTable {
  addRun(run: Run): void;
  removeRun(run: Run): void;
  /** Holds a run whose caller has gone until it is resumed or the grace has passed. */
  holdRun(run: Run): void;
  /** Takes a run from its stream or from its hold, for a stream that continues it here. */
  takeOver(generation: string, team: string): Run | undefined;
  /** Takes a moved run back, for a stream that continues it here. */
  reclaimRun(generation: string, team: string): MovedRun | undefined;
  /**
   * Takes a run for a stream on another host, and keeps its accounting until that one ends.
   * Returns the host that relayed it before, if that was yet another.
   */
  moveRun(generation: string, team: string, host: string): string | undefined;
  /** Ends the accounting of a moved run. */
  finishMoved(generation: string, team: string, outcome: AdmissionOutcome, tokens: number): void;
  /** Number of runs held for a resume. */
  countHeld(): number;
  stop(): void;
  dumpState(): unknown;
}

/** A run whose stream goes on at another host. */
export interface MovedRun {
  readonly run: Run;
  readonly host: string;
}

interface KeptRun {
  readonly run: Run;
  readonly timer: IdleTimer;
}

/**
 * Creates the table of runs. Active runs are bounded by the stream slots. Held and moved runs are
 * each bounded by the same number: at the bound the oldest held run is cancelled, and the oldest
 * moved one released as lost.
 */
export function createRunTable(options: RunTableOptions): RunTable {
  const { clock, limits } = options;
  const active = new Map<string, Run>();
  const held = new Map<string, KeptRun>();
  const moved = new Map<string, KeptRun & MovedRun>();

  const createTimer = (limitMs: number, handleExpiry: () => void) =>
    createIdleTimer({ clock, limitMs, pauseMs: limits.pauseMs, handleExpiry });
  const dropMoved = (generation: string) => {
    const kept = moved.get(generation);
    moved.delete(generation);
    kept?.timer.stop();
    return kept;
  };
  const keepMoved = (run: Run, host: string) => {
    const { generation } = run;
    const releaseLost = (lost: string) => {
      const kept = dropMoved(lost)?.run;
      kept?.release("lost", kept.tokens);
    };
    const timer = createTimer(limits.handoverMs, () => releaseLost(generation));
    moved.set(generation, { run, timer, host });
    const [oldest] = moved.keys();
    if (moved.size > limits.maxStreams && oldest !== undefined) {
      releaseLost(oldest);
    }
  };
  const takeOver = (generation: string, team: string) => {
    const run = active.get(generation) ?? held.get(generation)?.run;
    if (run === undefined || run.team !== team) {
      return undefined;
    }
    held.get(generation)?.timer.stop();
    held.delete(generation);
    active.delete(generation);
    run.isSuperseded = true;
    run.interrupt();
    return run;
  };
  const expireHeld = (run: Run) => {
    held.delete(run.generation);
    options.cancelRun(run);
    run.release("cancelled", run.tokens);
  };

  return {
    addRun: (run) => {
      active.set(run.generation, run);
    },
    removeRun: (run) => {
      if (active.get(run.generation) === run) {
        active.delete(run.generation);
      }
    },
    holdRun: (run) => {
      active.delete(run.generation);
      const timer = createTimer(limits.resumeGraceMs, () => expireHeld(run));
      held.set(run.generation, { run, timer });
      const [oldest] = held.values();
      if (held.size > limits.maxStreams && oldest !== undefined) {
        oldest.timer.stop();
        expireHeld(oldest.run);
      }
    },
    takeOver,
    reclaimRun: (generation, team) =>
      moved.get(generation)?.run.team === team ? dropMoved(generation) : undefined,
    moveRun: (generation, team, host) => {
      const former = moved.get(generation);
      if (former !== undefined && former.run.team === team) {
        dropMoved(generation);
        keepMoved(former.run, host);
        return former.host;
      }
      const run = takeOver(generation, team);
      if (run !== undefined) {
        keepMoved(run, host);
      }
      return undefined;
    },
    finishMoved: (generation, team, outcome, tokens) => {
      if (moved.get(generation)?.run.team === team) {
        dropMoved(generation)?.run.release(outcome, tokens);
      }
    },
    countHeld: () => held.size,
    stop: () => {
      [...held.values(), ...moved.values()].forEach(({ timer }) => timer.stop());
    },
    dumpState: () => ({ active: active.size, held: held.size, moved: moved.size }),
  };
}
