import type { Upstream } from "../upstreams/mod.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun } from "./generation_run.ts";
import { stopFormerEngine } from "./stop_former_engine.ts";

/**
 * Stops a generation at the engine that it leaves for `current` if that engine has been quiet, so
 * that the close of its stream may not reach it. Called before the run's fields name `current`.
 */
export function stopQuietEngine(
  context: ForwardingContext,
  run: GenerationRun,
  current: Upstream,
): void {
  const { request, upstream: former } = run;
  const quietMs = context.clock.readMonotonicMs() - run.lastEventAtMs;
  const canStop = request.service.engine?.canMove === true;
  if (former === undefined || !canStop || quietMs < FORWARDING_LIMITS.quietMs) {
    return;
  }
  stopFormerEngine(context, { request, former, current }).catch((error) =>
    context.logger.writeEvent("requestFailed", {
      request: request.requestId,
      reason: error instanceof Error ? error.stack ?? error.message : String(error),
    })
  );
}
