import { getPauseMs, isEvacuated } from "../upstreams/mod.ts";
import type { Upstream } from "../upstreams/mod.ts";
import { claimPermit } from "./claim_permit.ts";
import { getServiceBudget } from "./get_service_budget.ts";
import { chooseGenerationUpstream } from "./choose_generation_upstream.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import { findBackupCopy } from "./find_backup_copy.ts";
import type { BackupCopy } from "./find_backup_copy.ts";
import type { FormerEngine } from "./former_engine.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun, GenerationStream } from "./generation_run.ts";
import { isCallable } from "./is_callable.ts";
import { resumeGeneration } from "./resume_generation.ts";
import { sendEvent } from "./send_event.ts";
import { stopFormerEngine } from "./stop_former_engine.ts";
import { waitFor } from "./wait_for.ts";

const LIMIT_REACHED = "the upstream has reached the limit that it names";

/**
 * Why a generation migrates: its engine drains, or has sent no event for some time, or its data
 * centre is evacuated.
 */
export type MigrationReason = "draining" | "silent" | "evacuating";

/** A move of a KV cache from one upstream to another. */
interface MoveStep {
  readonly source: Upstream;
  readonly target: Upstream;
  readonly reason: MigrationReason;
}

/** A request to an upstream to resume a generation from its copy of the KV cache. */
interface ResumeStep extends BackupCopy {
  readonly reason: MigrationReason;
  readonly way: "copy" | "move";
}

/**
 * Migrates a running generation away from its upstream: resumes it from the backup copy on
 * another upstream, or else copies its KV cache to a new one. It keeps running on its source until
 * the other upstream resumes it, so a refused step loses nothing. Resolves once it has resumed on
 * another upstream or no option is left.
 */
export async function migrateGeneration(
  context: ForwardingContext,
  run: GenerationRun,
  reason: MigrationReason,
): Promise<void> {
  const isReady = run.phase === "running" && run.inFlight?.isPrefilling === false;
  if (run.isMigrating || run.hasReturned || !isReady) {
    return;
  }
  // An engine that sends nothing may not answer a request to copy either.
  const canMove = reason !== "silent" && isCallable(context, run.upstream) &&
    run.request.service.engine?.canMove === true;
  if (!canMove && findBackupCopy(context, run) === undefined) {
    return; // it stays on its engine until it ends
  }
  run.isMigrating = true;
  try {
    const isFromBackup = await tryBackupCopy(context, run, reason);
    const hasMigrated = isFromBackup || (canMove && await migrateCache(context, run, reason));
    const end = isFromBackup ? "fromCopy" : hasMigrated ? "copied" : "failed";
    context.metrics.increment("forwarding.moves", 1, { end, reason });
  } finally {
    run.isMigrating = false;
  }
}

/** Resumes from the backup copy; retries, because a recent copy may still be in transfer. */
async function tryBackupCopy(
  context: ForwardingContext,
  run: GenerationRun,
  reason: MigrationReason,
): Promise<boolean> {
  const maxWaitMs = reason === "silent" ? 0 : FORWARDING_LIMITS.maxBackupWaitMs;
  const startMs = context.clock.readMonotonicMs();
  const { stream } = run;
  for (;;) {
    const copy = findBackupCopy(context, run);
    // A silent stream has no better place, as after its connection is lost; a draining one has.
    const isUsable = reason === "silent" || copy?.upstream.status === "ready";
    const isMoved = run.phase !== "running" || run.stream !== stream;
    if (isMoved || copy === undefined || !isUsable) {
      return false;
    }
    if (await tryResume(context, run, { ...copy, reason, way: "copy" })) {
      return true;
    }
    if (context.clock.readMonotonicMs() - startMs >= maxWaitMs) {
      return false;
    }
    await waitFor(context.clock, FORWARDING_LIMITS.backupRetryMs);
  }
}

async function migrateCache(
  context: ForwardingContext,
  run: GenerationRun,
  reason: MigrationReason,
): Promise<boolean> {
  const source = run.upstream;
  const { stream } = run;
  const excluded = new Set<string>();
  for (let tries = 0; tries < FORWARDING_LIMITS.maxMigrationTargets;) {
    if (run.phase !== "running" || source === undefined || run.inFlight === undefined) {
      return run.phase === "ended";
    }
    if (!isCallable(context, source) || run.stream !== stream) {
      return false; // too late to copy, or it has failed and runs at another engine since
    }
    if (reason === "evacuating" && !hasToLeave(context, source)) {
      return false; // the evacuation has been withdrawn
    }
    const target = chooseGenerationUpstream(context, {
      request: run.request,
      purpose: "move",
      among: "preferUnlimited",
      inFlight: run.inFlight,
      excluded: new Set([...excluded, source.record.id]),
      nearDataCentre: source.record.dataCentre,
    })?.upstream;
    if (target === undefined || isPausing(context, source)) {
      excluded.clear(); // a target that failed once may succeed on a retry
      await waitFor(context.clock, FORWARDING_LIMITS.migrationRetryMs);
      continue;
    }
    tries++;
    if (await migrateTo(context, run, { source, target, reason })) {
      return true;
    }
    excluded.add(target.record.id);
    await waitFor(context.clock, FORWARDING_LIMITS.migrationRetryMs);
  }
  return false;
}

/** Copies the KV cache to `target` while the generation keeps running, then resumes it there. */
async function migrateTo(
  context: ForwardingContext,
  run: GenerationRun,
  { source, target, reason }: MoveStep,
): Promise<boolean> {
  const { inFlight, request, stream } = run;
  if (inFlight === undefined) {
    return false;
  }
  inFlight.moveUpstreamId = target.record.id;
  context.reportLoadIncrease();
  const permit = await claimPermit(context, {
    upstream: source,
    priority: FORWARDING_LIMITS.resumePriority,
    waitMs: FORWARDING_LIMITS.movePermitTimeoutMs,
    patientMs: FORWARDING_LIMITS.movePermitTimeoutMs,
  });
  if (permit.type === "refused" || !isCallable(context, source)) {
    inFlight.moveUpstreamId = undefined;
    recordFailure(context, run, "copy", LIMIT_REACHED);
    return false;
  }
  recordStart(context, run, target, "move");
  const result = await context.kvCache.copyKvCache({
    sourceAddress: source.record.address,
    targetAddress: target.record.address,
    requestId: request.requestId,
    timeoutMs: FORWARDING_LIMITS.cacheCopyTimeoutMs,
  });
  if (result.type !== "copied") {
    inFlight.moveUpstreamId = undefined;
    recordFailure(context, run, "copy", result.type === "failed" ? result.reason : result.type);
    return false;
  }
  const cacheSource = { address: source.record.address, handle: result.handle };
  if (run.phase !== "ended" && run.stream !== stream) {
    return false; // it has failed and runs at another engine since
  }
  const hasResumed = run.phase === "ended" ||
    await tryResume(context, run, { upstream: target, source: cacheSource, reason, way: "move" });
  if (!hasResumed) {
    inFlight.moveUpstreamId = undefined;
  }
  return hasResumed;
}

/**
 * Requests an upstream to resume the generation and stops it at its source: once the upstream
 * responds, or does so late. A host whose timers are late stops it first, because it could not limit
 * the time for which both run it. Returns whether the generation has left the stream of its source;
 * if no upstream runs it then, it is restored like one whose source has failed.
 */
async function tryResume(
  context: ForwardingContext,
  run: GenerationRun,
  options: ResumeStep,
): Promise<boolean> {
  const { stream, request, upstream: left } = run;
  const { upstream, reason, way } = options;
  if (
    stream === undefined || left === undefined || run.phase !== "running" ||
    isPausing(context, upstream) || isEvacuated(context.upstreams, upstream.record)
  ) {
    return false;
  }
  const permit = await claimPermit(context, {
    upstream,
    priority: FORWARDING_LIMITS.resumePriority,
    waitMs: FORWARDING_LIMITS.movePermitTimeoutMs,
    patientMs: FORWARDING_LIMITS.movePermitTimeoutMs,
  });
  if (permit.type === "refused") {
    recordFailure(context, run, `resume at ${upstream.record.id}`, LIMIT_REACHED);
    return false;
  }
  if (!isStillRunning(run) || run.stream !== stream) {
    return false;
  }
  if (!isCallable(context, left, FORWARDING_LIMITS.resumeTimeoutMs)) {
    return false; // it could not return if the upstream does not resume it
  }
  if (way === "copy") {
    recordStart(context, run, upstream, way);
  }
  run.phase = "switching";
  const stop = () =>
    stopFormerEngine(context, run, {
      ...{ left, stream },
      target: upstream,
      waitMs: reason === "silent" ? FORWARDING_LIMITS.stopWaitMs : FORWARDING_LIMITS.stopTimeoutMs,
      isFinal: reason === "silent",
    });
  let { source } = options;
  let stopping: Promise<FormerEngine> | undefined;
  if (context.timerDelays.isLate()) {
    stopping = stop();
    const former = await stopping;
    if (former.type === "stopped") {
      await waitForClose(context, stream);
      source = former.copiedTo === upstream ? former.cache ?? source : source;
    } else if (reason !== "silent" && !hasEnded(run)) {
      recordFailure(context, run, `stop at ${left.record.id}`, former.reason);
      resumeSource(context, run, stream);
      return false;
    }
    if (hasEnded(run)) {
      return true; // the source has completed the response in the meantime, or the caller has left
    }
  }
  getServiceBudget(context, request.service.name).countRetry();
  stream.bufferedEvents = [];
  const refusal = await new Promise<string | undefined>((resolve) => {
    const timer = context.clock.startTimer(FORWARDING_LIMITS.resumeResponseMs, () => {
      stopping ??= stop();
    });
    const settle = (reasonOfRefusal?: string) => {
      timer.cancel();
      resolve(reasonOfRefusal);
    };
    stream.handleClose = () => {
      if (stream.closed === "end") {
        settle(); // the source has completed the response in the meantime
      }
    };
    resumeGeneration(context, run, {
      ...{ upstream, source, way },
      timeoutMs: FORWARDING_LIMITS.resumeTimeoutMs,
      handleStart: () => settle(),
      refuse: settle,
    });
  });
  stream.handleClose = undefined;
  if (refusal === undefined) {
    return true;
  }
  const former = await stopping;
  if (hasEnded(run)) {
    return true;
  }
  recordFailure(context, run, `resume at ${upstream.record.id}`, refusal);
  if (former?.type !== "stopped") {
    resumeSource(context, run, stream);
    return false;
  }
  releaseBufferedEvents(context, run, stream);
  if (former.cache === undefined && stream.complete !== undefined) {
    stream.complete(); // the source had completed it before the call
  } else {
    run.restore(`stopped for a move; ${upstream.record.id} has not resumed it: ${refusal}`);
  }
  return true;
}

/** Goes on with the stream of the source, which may have failed in the meantime. */
function resumeSource(
  context: ForwardingContext,
  run: GenerationRun,
  stream: GenerationStream,
): void {
  run.phase = "running";
  releaseBufferedEvents(context, run, stream);
  if (stream.closed === "fail") {
    run.restore("source stream failed while another upstream was requested to resume");
  }
}

function releaseBufferedEvents(
  context: ForwardingContext,
  run: GenerationRun,
  stream: GenerationStream,
): void {
  const buffered = stream.bufferedEvents ?? [];
  stream.bufferedEvents = undefined;
  buffered.forEach((event) => sendEvent(context, run, event));
}

/** Waits until the stream of an engine that has stopped the generation has brought its last event. */
async function waitForClose(context: ForwardingContext, stream: GenerationStream): Promise<void> {
  const closed = new Promise<void>((resolve) => {
    stream.handleClose = resolve;
    if (stream.closed !== undefined) {
      resolve();
    }
  });
  await Promise.race([closed, waitFor(context.clock, FORWARDING_LIMITS.lastEventsMs)]);
  stream.handleClose = undefined;
}

/** Whether the run has ended, during a wait. */
function hasEnded(run: GenerationRun): boolean {
  return run.phase === "ended";
}

/** Whether the run is still on its source, after a wait in which it may have ended or failed. */
function isStillRunning(run: GenerationRun): boolean {
  return run.phase === "running";
}

function isPausing(context: ForwardingContext, { record }: Upstream): boolean {
  return getPauseMs(context.upstreams, record, context.clock.readMonotonicMs()) > 0;
}

/** Whether generations still have to leave an upstream of which an evacuation has been noticed. */
function hasToLeave({ upstreams }: ForwardingContext, { record }: Upstream): boolean {
  return isEvacuated(upstreams, record) || upstreams.upstreams.get(record.id)?.status === "leaving";
}

function recordStart(
  context: ForwardingContext,
  run: GenerationRun,
  target: Upstream,
  way: string,
): void {
  context.logger.writeEvent("moveStarted", {
    request: run.request.requestId,
    way,
    from: run.upstream?.record.id ?? "none",
    to: target.record.id,
    events: run.sentEvents,
  });
}

function recordFailure(
  context: ForwardingContext,
  run: GenerationRun,
  step: string,
  reason: string,
): void {
  const upstream = run.upstream?.record.id ?? "none";
  context.logger.writeEvent("moveFailed", {
    request: run.request.requestId,
    upstream,
    step,
    reason,
  });
}
