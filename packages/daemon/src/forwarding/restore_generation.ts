import { getPauseMs } from "../upstreams/mod.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import { decideRestoreRetry } from "./decide_restore_retry.ts";
import { endInterrupted } from "./end_interrupted.ts";
import { claimPermit } from "./claim_permit.ts";
import { findBackupCopy } from "./find_backup_copy.ts";
import { findKeptCache } from "./find_kept_cache.ts";
import type { BackupCopy } from "./find_backup_copy.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun, RerunCause } from "./generation_run.ts";
import { getServiceBudget } from "./get_service_budget.ts";
import { resumeGeneration } from "./resume_generation.ts";
import { stopFormerEngine } from "./stop_former_engine.ts";

/**
 * Continues a generation after the upstream failed without notice: resumes it from its backup copy,
 * or runs it again after the last event if its route allows this, or ends it with an error. Without
 * the flag of the route it is never run again, because it may have been executed.
 */
export function restoreGeneration(
  context: ForwardingContext,
  run: GenerationRun,
  reason: string,
  cause: RerunCause,
): void {
  const startMs = context.clock.readMonotonicMs();
  const budget = getServiceBudget(context, run.request.service.name);
  const giveUpCopy = (detail: string) => {
    if (!run.runAgain(detail, cause)) {
      endInterrupted(context, run, detail);
    }
  };
  const computeElapsedMs = () => context.clock.readMonotonicMs() - startMs;
  const canRunAgain = () =>
    run.decideRecovery({ outcome: "broken", hasCopy: false }) === "runAgain";
  const retryAfter = (delayMs: number) =>
    context.clock.startTimer(delayMs, () => {
      if (run.phase === "switching") {
        tryRestore();
      }
    });
  const tryRestore = () => {
    // An engine that has just stopped it for a move that failed has all of its KV cache.
    const copy = findKeptCache(context, run) ?? findBackupCopy(context, run);
    // Without an event from its engine there may be no copy, and a faulty engine could start the
    // request again.
    const hasCopy = run.lastEventId !== undefined && run.inFlight?.isPrefilling === false;
    const recovery = run.decideRecovery({ outcome: "broken", hasCopy });
    if (copy === undefined || recovery !== "resumeFromCopy") {
      giveUpCopy(reason);
      return;
    }
    run.phase = "switching";
    run.stream?.exchange?.abort();
    const nowMs = context.clock.readMonotonicMs();
    const pauseMs = getPauseMs(context.upstreams, copy.upstream.record, nowMs);
    if (pauseMs > 0) {
      if (run.runAgain(`${reason}; the upstream with the backup copy asks for a pause`, cause)) {
        return;
      }
      const endMs = Math.min(
        startMs + FORWARDING_LIMITS.restoreTimeoutMs,
        run.request.deadlineAtMs,
      );
      if (nowMs + pauseMs >= endMs) {
        endInterrupted(
          context,
          run,
          `${reason}; the upstream with the backup copy asks for a pause`,
        );
        return;
      }
      retryAfter(pauseMs);
      return;
    }
    stopAndResume(copy).catch((error) => endInterrupted(context, run, `${reason}; ${error}`));
  };
  const stopAndResume = async (copy: BackupCopy) => {
    const left = run.upstream;
    const former = left === undefined ? undefined : await stopFormerEngine(context, run, {
      left,
      stream: run.stream,
      target: copy.upstream,
      waitMs: FORWARDING_LIMITS.stopWaitMs,
      restingWaitMs: FORWARDING_LIMITS.restoreTimeoutMs - computeElapsedMs(),
      isFinal: true,
    });
    if (run.phase !== "switching") {
      return;
    }
    if (former?.type === "stopped" && former.cache === undefined) {
      run.stream?.complete?.(); // its engine had completed it before the call
    }
    if (hasEnded(run)) {
      return;
    }
    if (former?.type === "resting" || former?.type === "evacuated") {
      giveUpCopy(`${reason}; its engine may run on and cannot be told to stop: ${former.reason}`);
      return;
    }
    const leftMs = canRunAgain()
      ? FORWARDING_LIMITS.movePermitTimeoutMs
      : FORWARDING_LIMITS.restoreTimeoutMs - computeElapsedMs();
    const permit = await claimPermit(context, {
      upstream: copy.upstream,
      priority: FORWARDING_LIMITS.resumePriority,
      waitMs: leftMs,
      patientMs: leftMs,
    });
    if (run.phase !== "switching") {
      return;
    }
    const isPausing =
      getPauseMs(context.upstreams, copy.upstream.record, context.clock.readMonotonicMs()) > 0;
    if (permit.type === "granted") {
      const hasAll = former?.type === "stopped" && former.copiedTo === copy.upstream;
      resumeFrom({ ...copy, source: hasAll ? former.cache ?? copy.source : copy.source });
    } else if (isPausing) {
      tryRestore();
    } else {
      giveUpCopy(`${reason}; the backup copy's upstream is at its limit`);
    }
  };
  const resumeFrom = (copy: BackupCopy) => {
    if (run.stopped !== undefined && copy.source === run.stopped.cache) {
      run.stopped = { ...run.stopped, cache: undefined }; // a handle can be used once
    }
    resumeGeneration(context, run, {
      ...copy,
      way: "copy",
      timeoutMs: canRunAgain()
        ? FORWARDING_LIMITS.resumeTimeoutMs
        : FORWARDING_LIMITS.restoreTimeoutMs - computeElapsedMs(),
      refuse: (resumeFailure, isUnexecuted) => {
        if (!isUnexecuted) {
          run.tried.add(copy.upstream.record.id);
        }
        const detail = `${reason}; resuming from the backup copy failed: ${resumeFailure}`;
        if (run.phase === "switching" && returnToSource()) {
          return;
        }
        if (run.runAgain(detail, cause)) {
          return;
        }
        const nowMs = context.clock.readMonotonicMs();
        const isRetried = run.phase === "switching" && decideRestoreRetry({
          isUnexecuted,
          isUpstreamUsable: findBackupCopy(context, run)?.upstream.status === "ready",
          elapsedMs: nowMs - startMs,
          leftMs: run.request.deadlineAtMs - nowMs,
          hasBudget: budget.hasRoom(),
        });
        if (!isRetried) {
          endInterrupted(context, run, detail);
          return;
        }
        budget.countRetry();
        retryAfter(FORWARDING_LIMITS.backupRetryMs);
      },
    });
  };
  /** Resumes at the engine that has stopped the generation, from the KV cache that it keeps. */
  const returnToSource = () => {
    const kept = findKeptCache(context, run);
    if (kept === undefined) {
      return false;
    }
    budget.countRetry();
    resumeFrom(kept);
    return true;
  };
  tryRestore();
}

/** Whether the run has ended, during a wait. */
function hasEnded(run: GenerationRun): boolean {
  return run.phase === "ended";
}
