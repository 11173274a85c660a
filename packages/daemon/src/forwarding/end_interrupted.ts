import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun } from "./generation_run.ts";
import { getServiceBudget } from "./get_service_budget.ts";
import { isHeldBack } from "./is_held_back.ts";

/** Ends a generation that an engine may have run and that continues nowhere. */
export function endInterrupted(
  context: ForwardingContext,
  run: GenerationRun,
  reason: string,
): void {
  const { request, upstream } = run;
  if (run.phase === "ended") {
    return; // the caller has disconnected in the meantime
  }
  const nowMs = context.clock.readMonotonicMs();
  if (request.route.isResumable) {
    context.logger.writeEvent("generationNotRunAgain", {
      request: request.requestId,
      reason,
      engines: run.executedAttempts,
      maxAttempts: request.route.maxAttempts,
      hasBudget: getServiceBudget(context, request.service.name).hasRoom(),
      isHeldBack: isHeldBack(context, request),
    });
  }
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
