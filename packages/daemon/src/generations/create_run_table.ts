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
  /** Cancels a generation that no caller has resumed in time. */
  readonly cancelRun: (run: Run) => void;
}

/** Table of the generations of this daemon; each has at most one stream to a caller. */
export interface RunTable {
  addRun(run: Run): void;
  removeRun(run: Run): void;
  /** Holds a run without a caller until it is resumed or the resume grace period has passed. */
  holdRun(run: Run): void;
  /** Removes an active or held run and ends its stream, because another stream takes over. */
  takeOverRun(generation: string, team: string): Run | undefined;
  /** Removes a moved run whose stream continues on this host again. */
  reclaimRun(generation: string, team: string): MovedRun | undefined;
  /**
   * Ends the stream of a run that continues on another host, and keeps the admission grant until
   * the stream there ends. Returns the host that relayed the run before, if the run had already
   * been moved.
   */
  moveRun(generation: string, team: string, host: string): string | undefined;
  /** Releases the admission grant of a moved run. */
  finishMovedRun(generation: string, team: string, outcome: AdmissionOutcome, tokens: number): void;
  /** Number of runs held for a resume. */
  countHeld(): number;
  stop(): void;
  dumpState(): unknown;
}

/** A run whose stream continues on another host. */
export interface MovedRun {
  readonly run: Run;
  readonly host: string;
}

/** A held or moved run with the timer after which it is dropped. */
interface TimedRun {
  readonly run: Run;
  readonly timer: IdleTimer;
}

/**
 * Creates the table of runs. The stream slots limit the number of active runs. The same limit
 * applies to held runs and to moved runs: above it, the oldest held run is cancelled, or the oldest
 * moved run is released as lost.
 */
export function createRunTable(options: RunTableOptions): RunTable {
  const { clock, limits } = options;
  const active = new Map<string, Run>();
  const held = new Map<string, TimedRun>();
  const moved = new Map<string, TimedRun & MovedRun>();

  const createTimer = (limitMs: number, handleExpiry: () => void) =>
    createIdleTimer({ clock, limitMs, pauseThresholdMs: limits.pauseThresholdMs, handleExpiry });
  const removeMovedRun = (generation: string) => {
    const movedRun = moved.get(generation);
    moved.delete(generation);
    movedRun?.timer.stop();
    return movedRun;
  };
  const addMovedRun = (run: Run, host: string) => {
    const { generation } = run;
    const releaseLostRun = (lost: string) => {
      const lostRun = removeMovedRun(lost)?.run;
      lostRun?.release("lost", lostRun.tokens);
    };
    const timer = createTimer(limits.movedRunTtlMs, () => releaseLostRun(generation));
    moved.set(generation, { run, timer, host });
    const [oldest] = moved.keys();
    if (moved.size > limits.maxStreams && oldest !== undefined) {
      releaseLostRun(oldest);
    }
  };
  /** Also ends the stream of a run that is moved to another host. */
  const takeOverRun = (generation: string, team: string) => {
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
  const cancelHeldRun = (run: Run) => {
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
      const timer = createTimer(limits.resumeGraceMs, () => cancelHeldRun(run));
      held.set(run.generation, { run, timer });
      const [oldest] = held.values();
      if (held.size > limits.maxStreams && oldest !== undefined) {
        oldest.timer.stop();
        cancelHeldRun(oldest.run);
      }
    },
    takeOverRun,
    reclaimRun: (generation, team) =>
      moved.get(generation)?.run.team === team ? removeMovedRun(generation) : undefined,
    moveRun: (generation, team, host) => {
      const former = moved.get(generation);
      if (former !== undefined && former.run.team === team) {
        removeMovedRun(generation);
        addMovedRun(former.run, host);
        return former.host;
      }
      const run = takeOverRun(generation, team);
      if (run !== undefined) {
        addMovedRun(run, host);
      }
      return undefined;
    },
    finishMovedRun: (generation, team, outcome, tokens) => {
      if (moved.get(generation)?.run.team === team) {
        removeMovedRun(generation)?.run.release(outcome, tokens);
      }
    },
    countHeld: () => held.size,
    stop: () => {
      [...held.values(), ...moved.values()].forEach(({ timer }) => timer.stop());
    },
    dumpState: () => ({ active: active.size, held: held.size, moved: moved.size }),
  };
}
