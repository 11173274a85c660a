import type { KvCacheSource } from "../adapters/deployment_dialect.ts";
import { getPauseMs } from "../upstreams/mod.ts";
import type { Upstream } from "../upstreams/mod.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import { decideRestoreRetry } from "./decide_restore_retry.ts";
import { dropKeptCache } from "./drop_kept_cache.ts";
import { endInterrupted } from "./end_interrupted.ts";
import { claimPermit } from "./claim_permit.ts";
import { findBackupCopy } from "./find_backup_copy.ts";
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
  let copied: { upstream: Upstream; cache: KvCacheSource | undefined } | undefined;
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
    const former = await stopFormer(copy);
    if (run.phase !== "switching") {
      return;
    }
    if (former?.type === "untold") {
      endInterrupted(
        context,
        run,
        `${reason}; its engine may run on and cannot be told: ${former.reason}`,
      );
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
      resumeFrom({ ...copy, source: takeCache(copy) ?? copy.source });
    } else if (isPausing) {
      tryRestore();
    } else {
      giveUpCopy(`${reason}; the backup copy's upstream is at its limit`);
    }
  };
  /** Stops the generation at its engine; once, however often it is tried to be restored. */
  const stopFormer = async (copy: BackupCopy) => {
    const { upstream: left, stream } = run;
    if (left === undefined || stream === undefined || stream.stopCalls !== undefined) {
      return stream?.stopCalls?.latest;
    }
    const former = await stopFormerEngine(context, run, {
      ...{ left, stream, target: copy.upstream },
      untoldWaitMs: FORWARDING_LIMITS.untoldWaitMs,
    });
    if (former.type === "stopped" && former.copiedTo !== undefined) {
      copied = { upstream: former.copiedTo, cache: former.cache };
    } else if (former.type === "stopped") {
      dropKeptCache(context, run, former.cache);
    }
    return former;
  };
  /** Takes the cache that the former engine has copied to the upstream; a handle is used once. */
  const takeCache = ({ upstream }: BackupCopy) => {
    const cache = copied?.upstream.record.id === upstream.record.id ? copied.cache : undefined;
    copied = undefined;
    return cache;
  };
  const resumeFrom = (copy: BackupCopy) => {
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
