import { createPrefixCache } from "./create_prefix_cache.ts";
import type { PrefixCacheEvent } from "./create_prefix_cache.ts";
import type { EngineJob } from "./engine_job.ts";
import type { EngineLoadReport } from "./engine_load_report.ts";
import type { EngineModelOptions } from "./engine_model_options.ts";
import type { EngineSink } from "./engine_sink.ts";

/**
 * Step model of an engine with continuous batching, a KV cache in blocks, preemption by
 * recomputation and a prefix cache. It reads no clock: only {@link EngineModel.advanceTo} advances
 * its time.
 */
export interface EngineModel {
  /** Submits a job; returns false when the engine is draining, stopped or too small for it. */
  submitJob(job: EngineJob, nowMs: number): boolean;
  cancelJob(id: string): void;
  /** Runs every step that ends by `nowMs`. */
  advanceTo(nowMs: number): void;
  /** Returns the time at which the next step ends, or undefined when idle. */
  readNextStepMs(): number | undefined;
  /** Returns the end of the planned steps, which only add tokens, or undefined when idle. */
  readPlannedEndMs(): number | undefined;
  /** Refuses new jobs; running ones continue. */
  startLeaving(): void;
  /** Drops every job without notifying the sink. */
  stopAtOnce(): void;
  /** Returns the newest report that is at least as old as the report lag. */
  readLoad(nowMs: number): EngineLoadReport;
  listCacheEvents(after: number): readonly PrefixCacheEvent[];
}

interface Sequence {
  readonly job: EngineJob;
  readonly submittedAtMs: number;
  produced: number;
  remainingPrefill: number;
  blocks: number;
}

interface StepPlan {
  readonly steps: number;
  readonly stepMs: number;
  /** The sequence that is prefilled in this step, and the number of prompt tokens. */
  readonly prefill?: { readonly sequence: Sequence; readonly tokens: number };
}

const BLOCK_TOKENS = 16;
const PREFILL_CHUNK_TOKENS = 512;
const MAX_STEPS_AT_ONCE = 4_096;
const SNAPSHOT_MS = 200;
const ROUNDING_MS = 1e-6;

/** Creates an engine model. */
export function createEngineModel(options: EngineModelOptions, sink: EngineSink): EngineModel {
  const totalBlocks = Math.floor(options.capacityTokens / BLOCK_TOKENS);
  const cache = createPrefixCache(options.prefixCacheTokens);
  let running: Sequence[] = [];
  let waiting: Sequence[] = [];
  let freeBlocks = totalBlocks;
  let timeMs = 0;
  let preemptions = 0;
  let isLeaving = false;
  let isStopped = false;
  let plan: StepPlan | undefined;
  let snapshots: { atMs: number; report: EngineLoadReport }[] = [];

  const countBlocks = (tokens: number) => Math.ceil(tokens / BLOCK_TOKENS);
  const compareUrgency = (left: Sequence, right: Sequence) =>
    left.job.priority - right.job.priority || left.submittedAtMs - right.submittedAtMs;

  const admitWaiting = () => {
    waiting.sort(compareUrgency);
    for (const sequence of [...waiting]) {
      const blocks = countBlocks(sequence.job.promptTokens + sequence.produced + 1);
      if (sequence.submittedAtMs > timeMs) {
        continue;
      }
      if (running.length >= options.maxBatch || blocks > freeBlocks) {
        return;
      }
      const { prefix, promptTokens } = sequence.job;
      const cachedTokens = prefix === undefined ? 0 : cache.touchPrefix(prefix.key, prefix.tokens);
      sequence.remainingPrefill = promptTokens + sequence.produced - cachedTokens;
      sequence.blocks = blocks;
      freeBlocks -= blocks;
      running.push(sequence);
      waiting.splice(waiting.indexOf(sequence), 1);
    }
  };

  const pauseLeastUrgent = (): Sequence | undefined => {
    const victim = running.reduce<Sequence | undefined>(
      (leastUrgent, each) =>
        leastUrgent === undefined || compareUrgency(leastUrgent, each) <= 0 ? each : leastUrgent,
      undefined,
    );
    if (victim === undefined) {
      return undefined;
    }
    running.splice(running.indexOf(victim), 1);
    freeBlocks += victim.blocks;
    victim.blocks = 0;
    waiting.push(victim);
    preemptions += 1;
    sink.pauseJob(victim.job.id, timeMs);
    return victim;
  };

  /** Reserves blocks for the next token of each running sequence, with preemption if needed. */
  const reserveBlocks = () => {
    for (const sequence of [...running]) {
      const neededBlocks = countBlocks(sequence.job.promptTokens + sequence.produced + 1);
      while (neededBlocks - sequence.blocks > freeBlocks && running.includes(sequence)) {
        pauseLeastUrgent();
      }
      if (running.includes(sequence) && neededBlocks > sequence.blocks) {
        freeBlocks -= neededBlocks - sequence.blocks;
        sequence.blocks = neededBlocks;
      }
    }
  };

  /** Returns a number of steps, from 1 to `limit`, that fits into the free blocks. */
  const countStepsThatFit = (limit: number): number => {
    const countNeeded = (steps: number) =>
      running.reduce(
        (sum, { job, produced, blocks }) =>
          sum + Math.max(0, countBlocks(job.promptTokens + produced + steps) - blocks),
        0,
      );
    let steps = Math.max(1, limit);
    while (steps > 1 && countNeeded(steps) > freeBlocks) {
      steps = Math.ceil(steps / 2);
    }
    return steps;
  };

  const planStep = (): StepPlan | undefined => {
    const earliestSubmittedAtMs = waiting.reduce(
      (least, each) => Math.min(least, each.submittedAtMs),
      Infinity,
    );
    if (running.length === 0) {
      timeMs = earliestSubmittedAtMs === Infinity
        ? timeMs
        : Math.max(timeMs, earliestSubmittedAtMs);
    }
    reserveBlocks();
    admitWaiting();
    if (running.length === 0) {
      return undefined;
    }
    const decodeMs = options.baseStepMs + options.sequenceStepMs * running.length;
    const sequence = running.find((each) => each.remainingPrefill > 0);
    if (sequence !== undefined) {
      const tokens = Math.min(sequence.remainingPrefill, PREFILL_CHUNK_TOKENS);
      const stepMs = (decodeMs + tokens * options.prefillTokenMs) / options.speed;
      return { steps: 1, stepMs, prefill: { sequence, tokens } };
    }
    const stepMs = decodeMs / options.speed;
    const stepsUntilArrival = earliestSubmittedAtMs > timeMs && earliestSubmittedAtMs !== Infinity
      ? Math.ceil((earliestSubmittedAtMs - timeMs) / stepMs)
      : MAX_STEPS_AT_ONCE;
    const stepsUntilFinish = running.reduce(
      (least, each) => Math.min(least, each.job.outputTokens - each.produced),
      MAX_STEPS_AT_ONCE,
    );
    return { steps: countStepsThatFit(Math.min(stepsUntilArrival, stepsUntilFinish)), stepMs };
  };

  const finishSequences = () => {
    const finished = running.filter((each) => each.produced >= each.job.outputTokens);
    if (finished.length === 0) {
      return;
    }
    running = running.filter((each) => each.produced < each.job.outputTokens);
    for (const sequence of finished) {
      freeBlocks += sequence.blocks;
      sink.finishJob(sequence.job.id, timeMs);
    }
  };

  const runSteps = (current: StepPlan, steps: number) => {
    const firstAtMs = timeMs + current.stepMs;
    const decodingSequences = running.filter((each) => each.remainingPrefill === 0);
    timeMs += steps * current.stepMs;
    if (current.prefill !== undefined) {
      current.prefill.sequence.remainingPrefill -= current.prefill.tokens;
    }
    for (const sequence of decodingSequences) {
      const { job, produced } = sequence;
      const addedBlocks = countBlocks(job.promptTokens + produced + steps) - sequence.blocks;
      if (addedBlocks > 0) {
        freeBlocks -= addedBlocks;
        sequence.blocks += addedBlocks;
      }
      sequence.produced = produced + steps;
      sink.addTokens({
        id: job.id,
        firstIndex: produced,
        count: steps,
        firstAtMs,
        stepMs: current.stepMs,
      });
    }
    finishSequences();
  };

  const recordSnapshot = (nowMs: number) => {
    const last = snapshots.at(-1);
    if (last !== undefined && nowMs - last.atMs < SNAPSHOT_MS && options.reportLagMs > 0) {
      return;
    }
    const report = {
      running: running.length,
      waiting: waiting.length,
      usedTokens: (totalBlocks - freeBlocks) * BLOCK_TOKENS,
      capacityTokens: options.capacityTokens,
      preemptions,
      leaving: isLeaving,
    };
    snapshots.push({ atMs: nowMs, report });
    const newest = snapshots.findLastIndex((each) => each.atMs <= nowMs - options.reportLagMs);
    snapshots = snapshots.slice(Math.max(0, newest));
  };

  return {
    submitJob: (job, nowMs) => {
      const neededTokens = job.promptTokens + job.outputTokens;
      if (isLeaving || isStopped || neededTokens > options.capacityTokens) {
        return false;
      }
      timeMs = running.length + waiting.length === 0 ? Math.max(timeMs, nowMs) : timeMs;
      waiting.push({ job, submittedAtMs: nowMs, produced: 0, remainingPrefill: 0, blocks: 0 });
      plan = undefined;
      return true;
    },
    cancelJob: (id) => {
      const sequence = running.find((each) => each.job.id === id);
      freeBlocks += sequence?.blocks ?? 0;
      running = running.filter((each) => each !== sequence);
      waiting = waiting.filter((each) => each.job.id !== id);
      plan = undefined;
    },
    advanceTo: (nowMs) => {
      for (;;) {
        plan ??= planStep();
        const availableSteps = plan === undefined
          ? 0
          : Math.floor((nowMs - timeMs + ROUNDING_MS) / plan.stepMs);
        if (plan === undefined || availableSteps < 1) {
          break;
        }
        const steps = Math.min(plan.steps, availableSteps);
        const current = plan;
        plan = undefined;
        runSteps(current, steps);
      }
      recordSnapshot(nowMs);
    },
    readNextStepMs: () => {
      plan ??= planStep();
      return plan === undefined ? undefined : timeMs + plan.stepMs;
    },
    readPlannedEndMs: () => {
      plan ??= planStep();
      return plan === undefined ? undefined : timeMs + plan.steps * plan.stepMs;
    },
    startLeaving: () => {
      isLeaving = true;
    },
    stopAtOnce: () => {
      isStopped = true;
      running = [];
      waiting = [];
      freeBlocks = totalBlocks;
      plan = undefined;
    },
    readLoad: (nowMs) => {
      recordSnapshot(nowMs);
      const known = snapshots.findLast((each) => each.atMs <= nowMs - options.reportLagMs);
      return (known ?? snapshots[0] as { report: EngineLoadReport }).report;
    },
    listCacheEvents: (after) => cache.listEvents(after),
  };
}
