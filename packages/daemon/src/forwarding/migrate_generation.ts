import { getPauseMs, isEvacuated } from "../upstreams/mod.ts";
import type { Upstream } from "../upstreams/mod.ts";
import { claimPermit } from "./claim_permit.ts";
import { getServiceBudget } from "./get_service_budget.ts";
import { chooseGenerationUpstream } from "./choose_generation_upstream.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import { findBackupCopy } from "./find_backup_copy.ts";
import type { BackupCopy } from "./find_backup_copy.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun, GenerationStream } from "./generation_run.ts";
import { isCallable } from "./is_callable.ts";
import { resumeGeneration } from "./resume_generation.ts";
import { sendEvent } from "./send_event.ts";
import { waitFor } from "./wait_for.ts";

const MOVE_PERMIT_TIMES = {
  waitMs: FORWARDING_LIMITS.movePermitTimeoutMs,
  patientMs: FORWARDING_LIMITS.movePermitTimeoutMs,
};

const LIMIT_REACHED = "the upstream has reached the limit that it names";

/**
 * Why a generation migrates: its engine drains, or has sent no event for some time, or its data
 * centre is evacuated.
 */
export type MigrationReason = "draining" | "silent" | "evacuating";

/** A request to an upstream to resume a generation from its copy of the KV cache. */
interface ResumeStep extends BackupCopy {
  readonly way: "copy" | "move";
}

/**
 * Migrates a running generation away from its upstream: resumes it from the backup copy on
 * another upstream, or else copies its KV cache to a new one. It keeps running on its source until
 * the other upstream resumes it, so a failed step loses nothing. Resolves once it has resumed on
 * another upstream or no option is left.
 */
export async function migrateGeneration(
  context: ForwardingContext,
  run: GenerationRun,
  reason: MigrationReason,
): Promise<void> {
  const isReady = run.phase === "running" && run.inFlight?.isPrefilling === false;
  if (run.isMigrating || run.hasLateTarget || !isReady) {
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
    const isMoved = run.phase !== "running" || run.stream !== stream || run.hasLateTarget;
    if (isMoved || copy === undefined || !isUsable) {
      return false;
    }
    if (await tryResume(context, run, { ...copy, way: "copy" })) {
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
    if (!isCallable(context, source) || run.stream !== stream || run.hasLateTarget) {
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
    if (await migrateTo(context, run, source, target)) {
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
  source: Upstream,
  target: Upstream,
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
    await tryResume(context, run, { upstream: target, source: cacheSource, way: "move" });
  if (!hasResumed) {
    inFlight.moveUpstreamId = undefined;
  }
  return hasResumed;
}

/**
 * Requests an upstream to resume the generation and buffers the source's events meanwhile. Returns
 * whether it has resumed. The source is told to stop when the upstream responds; one that does so
 * late is given up, as the time for which both may run it is short.
 */
async function tryResume(
  context: ForwardingContext,
  run: GenerationRun,
  { upstream, source, way }: ResumeStep,
): Promise<boolean> {
  const { stream, request, upstream: left } = run;
  if (
    stream === undefined || left === undefined || run.phase !== "running" ||
    isPausing(context, upstream) || isEvacuated(context.upstreams, upstream.record)
  ) {
    return false;
  }
  const refuse = (reason: string) => {
    recordFailure(context, run, `resume at ${upstream.record.id}`, reason);
    return false;
  };
  if (context.timerDelays.isLate()) {
    return refuse("the timers of this host are late, so that it could not limit the overlap");
  }
  const claim = { priority: FORWARDING_LIMITS.resumePriority, ...MOVE_PERMIT_TIMES };
  const permit = await claimPermit(context, { upstream, ...claim });
  if (permit.type === "refused") {
    return refuse(LIMIT_REACHED);
  }
  const stopPermit = await claimPermit(context, { upstream: left, ...claim });
  if (stopPermit.type === "refused" || isPausing(context, left)) {
    return refuse("its source cannot be told to stop for now");
  }
  if (!isStillRunning(run) || run.stream !== stream) {
    return false;
  }
  if (way === "copy") {
    recordStart(context, run, upstream, way);
  }
  getServiceBudget(context, request.service.name).countRetry();
  stream.bufferedEvents = [];
  run.phase = "switching";
  const hasResumed = await new Promise<boolean>((resolve) => {
    stream.handleClose = () => {
      if (stream.closed === "end") {
        resolve(true); // the source has completed the response in the meantime
      }
    };
    resumeGeneration(context, run, {
      ...{ upstream, source, way },
      timeoutMs: FORWARDING_LIMITS.moveResponseMs,
      handleStart: () => resolve(true),
      refuse: (reason) => resolve(refuse(reason)),
    });
  });
  stream.handleClose = undefined;
  if (!hasResumed) {
    releaseBufferedEvents(context, run, stream);
  }
  return hasResumed;
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

function releaseBufferedEvents(
  context: ForwardingContext,
  run: GenerationRun,
  stream: GenerationStream,
): void {
  if (run.phase === "ended") {
    return;
  }
  const buffered = stream.bufferedEvents ?? [];
  stream.bufferedEvents = undefined;
  run.phase = "running";
  buffered.forEach((event) => sendEvent(context, run, event));
  if (stream.closed === "fail") {
    run.restore("source stream failed while another upstream was requested to resume");
  }
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
