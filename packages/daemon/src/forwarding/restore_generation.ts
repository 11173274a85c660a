import { getPauseMs } from "../upstreams/mod.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import { decideRestoreRetry } from "./decide_restore_retry.ts";
import { claimPermit } from "./claim_permit.ts";
import { findBackupCopy } from "./find_backup_copy.ts";
import type { BackupCopy } from "./find_backup_copy.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun } from "./generation_run.ts";
import { getServiceBudget } from "./get_service_budget.ts";
import { isHeldBack } from "./is_held_back.ts";
import { resumeGeneration } from "./resume_generation.ts";

/**
 * Resumes a generation from its backup copy after the upstream failed without notice, or ends it
 * with an error. It is never restarted from the beginning, because it may have been executed.
 */
export function restoreGeneration(
  context: ForwardingContext,
  run: GenerationRun,
  reason: string,
): void {
  const startMs = context.clock.readMonotonicMs();
  const budget = getServiceBudget(context, run.request.service.name);
  const retryAfter = (delayMs: number) =>
    context.clock.startTimer(delayMs, () => {
      if (run.phase === "switching") {
        tryRestore();
      }
    });
  const tryRestore = () => {
    const copy = findBackupCopy(context, run);
    const isSuspected = isHeldBack(context, run.request) ||
      context.promptParts.isSuspected(run.request.partKeys);
    // Without an event there may be no copy, and a faulty engine could start the request again.
    const hasEvent = run.lastEventId !== undefined;
    if (copy === undefined || !hasEvent || isSuspected) {
      endInterrupted(context, run, reason);
      return;
    }
    run.phase = "switching";
    run.stream?.exchange?.abort();
    const nowMs = context.clock.readMonotonicMs();
    const elapsedMs = nowMs - startMs;
    const pauseMs = getPauseMs(context.upstreams, copy.upstream.record, nowMs);
    if (pauseMs > 0) {
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
    const leftMs = FORWARDING_LIMITS.restoreTimeoutMs - elapsedMs;
    const limit = { priority: FORWARDING_LIMITS.resumePriority, waitMs: leftMs, patientMs: leftMs };
    claimPermit(context, { ...limit, upstream: copy.upstream }).then((permit) => {
      if (run.phase !== "switching") {
        return;
      }
      const isPausing =
        getPauseMs(context.upstreams, copy.upstream.record, context.clock.readMonotonicMs()) > 0;
      if (permit.type === "granted") {
        resumeFrom(copy);
      } else if (isPausing) {
        tryRestore();
      } else {
        endInterrupted(context, run, `${reason}; the backup copy's upstream is at its limit`);
      }
    }).catch((error) => endInterrupted(context, run, `${reason}; ${error}`));
  };
  const resumeFrom = (copy: BackupCopy) => {
    const elapsedMs = context.clock.readMonotonicMs() - startMs;
    resumeGeneration(context, run, {
      ...copy,
      way: "copy",
      timeoutMs: FORWARDING_LIMITS.restoreTimeoutMs - elapsedMs,
      refuse: (resumeFailure, isUnexecuted) => {
        const nowMs = context.clock.readMonotonicMs();
        const isRetried = run.phase === "switching" && decideRestoreRetry({
          isUnexecuted,
          isUpstreamUsable: findBackupCopy(context, run)?.upstream.status === "ready",
          elapsedMs: nowMs - startMs,
          leftMs: run.request.deadlineAtMs - nowMs,
          hasBudget: budget.hasRoom(),
        });
        if (!isRetried) {
          endInterrupted(
            context,
            run,
            `${reason}; resuming from the backup copy failed: ${resumeFailure}`,
          );
          return;
        }
        budget.countRetry();
        retryAfter(FORWARDING_LIMITS.backupRetryMs);
      },
    });
  };
  tryRestore();
}

function endInterrupted(context: ForwardingContext, run: GenerationRun, reason: string): void {
  const { request, upstream } = run;
  if (run.phase === "ended") {
    return; // the caller has disconnected in the meantime
  }
  const nowMs = context.clock.readMonotonicMs();
  if (!request.reply.hasStarted()) {
    request.reply.refuse(nowMs >= request.deadlineAtMs ? "timeout" : "outcomeUnknown", reason);
    run.finish("unknown");
    return;
  }
  context.logger.writeEvent("answerCut", {
    request: request.requestId,
    upstream: upstream?.record.id ?? "none",
    upstreamStatus: upstream === undefined
      ? "none"
      : context.upstreams.upstreams.get(upstream.record.id)?.status ?? "forgotten",
    copy: run.inFlight?.copyUpstreamId ?? "none",
    reason,
    events: run.sentEvents,
    ageMs: Math.round(nowMs - request.arrivedAtMs),
  });
  request.reply.abort();
  run.finish("cut");
}
