import { FORWARDING_LIMITS } from "./constants.ts";
import { findBackupCopy } from "./find_backup_copy.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun } from "./generation_run.ts";
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
  const copy = findBackupCopy(context, run);
  if (copy === undefined || context.quarantine.isQuarantined(run.request.fingerprint)) {
    endInterrupted(context, run, reason);
    return;
  }
  run.phase = "switching";
  run.stream?.exchange?.abort();
  resumeGeneration(context, run, {
    ...copy,
    way: "copy",
    timeoutMs: FORWARDING_LIMITS.restoreTimeoutMs,
    refuse: (resumeFailure) =>
      endInterrupted(
        context,
        run,
        `${reason}; resuming from the backup copy failed: ${resumeFailure}`,
      ),
  });
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
