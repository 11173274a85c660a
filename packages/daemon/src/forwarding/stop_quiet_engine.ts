import type { Upstream } from "../upstreams/mod.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun } from "./generation_run.ts";
import { stopEngine } from "./stop_engine.ts";
import { waitFor } from "./wait_for.ts";

/**
 * Stops a generation at the engine that it leaves for `current` if that engine has been quiet, so
 * that the close of its stream may not reach it. Called before the run's fields name `current`. A
 * call that fails is repeated a few times, as connections may be cut as well.
 */
export async function stopQuietEngine(
  context: ForwardingContext,
  run: GenerationRun,
  current: Upstream,
): Promise<void> {
  const left = run.upstream;
  const quietMs = context.clock.readMonotonicMs() - run.lastEventAtMs;
  if (left === undefined || quietMs < FORWARDING_LIMITS.quietMs) {
    return;
  }
  const timeoutMs = FORWARDING_LIMITS.stopTimeoutMs;
  for (let tries = 0; tries < FORWARDING_LIMITS.maxStopTries; tries++) {
    await waitFor(context.clock, FORWARDING_LIMITS.closeNoticeMs * 2 ** tries);
    if (await stopEngine(context, { run, left, current, timeoutMs })) {
      return;
    }
  }
}
