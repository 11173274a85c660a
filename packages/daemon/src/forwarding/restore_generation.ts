import { FORWARDING_LIMITS } from "./constants.ts";
import { findCopy } from "./find_copy.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun } from "./generation_run.ts";
import { resumeGeneration } from "./resume_generation.ts";

/**
 * Goes on after the upstream broke off without a word: from the copy that another upstream keeps, or
 * with an honest end. It is never begun anew, because it may have run.
 */
export function restoreGeneration(
  context: ForwardingContext,
  run: GenerationRun,
  reason: string,
): void {
  const copy = findCopy(context, run);
  if (copy === undefined || context.quarantine.isQuarantined(run.request.fingerprint)) {
    endBroken(context, run, reason);
    return;
  }
  run.phase = "switching";
  run.stream?.exchange?.abort();
  resumeGeneration(context, run, {
    ...copy,
    way: "copy",
    timeoutMs: FORWARDING_LIMITS.restoreTimeoutMs,
    refuse: (why) => endBroken(context, run, `${reason}; its copy: ${why}`),
  });
}

function endBroken(context: ForwardingContext, run: GenerationRun, reason: string): void {
  const { request, upstream } = run;
  if (run.phase === "ended") {
    return; // the caller has left meanwhile
  }
  const nowMs = context.clock.readMonotonicMs();
  if (!request.reply.hasStarted()) {
    request.reply.refuse(nowMs >= request.limitMs ? "timeout" : "outcomeUnknown", reason);
    run.finish("unknown");
    return;
  }
  context.logger.writeEvent("answerCut", {
    request: request.requestId,
    upstream: upstream?.record.id ?? "none",
    upstreamStatus: upstream === undefined
      ? "none"
      : context.upstreams.upstreams.get(upstream.record.id)?.status ?? "forgotten",
    copy: run.flight?.copyUpstreamId ?? "none",
    reason,
    events: run.sentEvents,
    ageMs: Math.round(nowMs - request.arrivedMs),
  });
  request.reply.cut();
  run.finish("cut");
}
