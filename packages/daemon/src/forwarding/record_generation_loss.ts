import type { Upstream } from "../upstreams/mod.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import { findLostUpstreamKey } from "./find_lost_upstream_key.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun } from "./generation_run.ts";
import { recordUpstreamLoss } from "./record_upstream_loss.ts";

/** How far a generation was on the upstream that it lost. */
export interface LostProgress {
  /** Whether the head of the response had arrived. */
  readonly hasHead: boolean;
  /** Monotonic time of the first complete event from this upstream. */
  readonly firstEventAtMs: number | undefined;
}

/** Logs the loss of an upstream in a generation's first steps, and reports it to the quarantine. */
export function recordGenerationLoss(
  context: ForwardingContext,
  run: GenerationRun,
  upstream: Upstream,
  { hasHead, firstEventAtMs }: LostProgress,
): void {
  const { request } = run;
  const sinceFirstEventMs = firstEventAtMs === undefined
    ? 0
    : context.clock.readMonotonicMs() - firstEventAtMs;
  if (sinceFirstEventMs < FORWARDING_LIMITS.firstStepsMs) {
    context.logger.writeEvent("engineLostEarly", {
      request: request.requestId,
      upstream: upstream.record.id,
      parts: request.head.promptParts.join(" "),
      hasHead,
      hasEvent: firstEventAtMs !== undefined,
      sinceFirstEventMs: Math.round(sinceFirstEventMs),
    });
    const key = findLostUpstreamKey(context, upstream);
    if (key !== undefined && !context.reachability.isCutOff()) {
      context.promptParts.recordCrash(key, request.partKeys);
    }
  }
  if (firstEventAtMs === undefined) {
    run.lossRecorded = recordUpstreamLoss(context, request, upstream);
  }
}
