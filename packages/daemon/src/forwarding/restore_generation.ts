import { getPauseMs } from "../upstreams/mod.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import { decideRestoreRetry } from "./decide_restore_retry.ts";
import { endInterrupted } from "./end_interrupted.ts";
import { claimPermit } from "./claim_permit.ts";
import { findBackupCopy } from "./find_backup_copy.ts";
import type { BackupCopy } from "./find_backup_copy.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun, RerunCause } from "./generation_run.ts";
import { getServiceBudget } from "./get_service_budget.ts";
import { resumeGeneration } from "./resume_generation.ts";

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
  const canRunAgain = () =>
    run.decideRecovery({ outcome: "broken", hasCopy: false }) === "runAgain";
  const retryAfter = (delayMs: number) =>
    context.clock.startTimer(delayMs, () => {
      if (run.phase === "switching") {
        tryRestore();
      }
    });
  const tryRestore = () => {
    const copy = findBackupCopy(context, run);
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
    const elapsedMs = nowMs - startMs;
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
    const leftMs = canRunAgain()
      ? FORWARDING_LIMITS.movePermitTimeoutMs
      : FORWARDING_LIMITS.restoreTimeoutMs - elapsedMs;
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
        giveUpCopy(`${reason}; the backup copy's upstream is at its limit`);
      }
    }).catch((error) => endInterrupted(context, run, `${reason}; ${error}`));
  };
  const resumeFrom = (copy: BackupCopy) => {
    const elapsedMs = context.clock.readMonotonicMs() - startMs;
    resumeGeneration(context, run, {
      ...copy,
      way: "copy",
      timeoutMs: canRunAgain()
        ? FORWARDING_LIMITS.resumeTimeoutMs
        : FORWARDING_LIMITS.restoreTimeoutMs - elapsedMs,
      refuse: (resumeFailure, isUnexecuted) => {
        if (!isUnexecuted) {
          run.tried.add(copy.upstream.record.id);
        }
        const detail = `${reason}; resuming from the backup copy failed: ${resumeFailure}`;
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
  tryRestore();
}
