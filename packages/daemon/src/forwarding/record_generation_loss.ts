import type { Upstream } from "../upstreams/mod.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun } from "./generation_run.ts";
import { recordUpstreamLoss } from "./record_upstream_loss.ts";

/** How far a generation was on the upstream that it lost. */
export interface LostProgress {
  /** Complete events that arrived from this upstream. */
  readonly events: number;
  /** Time since the head of the response; undefined if none has arrived. */
  readonly sinceHeadMs: number | undefined;
}

/** Time from the head of the response after which a generation is well under way. */
const FIRST_STEPS_MS = 1_000;

/** Logs the loss of an upstream in a generation's first steps, and reports it to the quarantine. */
export function recordGenerationLoss(
  context: ForwardingContext,
  run: GenerationRun,
  upstream: Upstream,
  { events, sinceHeadMs }: LostProgress,
): void {
  const { request } = run;
  if (sinceHeadMs === undefined || sinceHeadMs < FIRST_STEPS_MS) {
    context.logger.writeEvent("generationLost", {
      request: request.requestId,
      upstream: upstream.record.id,
      parts: request.head.promptParts.join(" "),
      hasHead: sinceHeadMs !== undefined,
      events,
      sinceHeadMs: Math.round(sinceHeadMs ?? 0),
    });
  }
  if (events === 0) {
    recordUpstreamLoss(context, request, upstream);
  }
}
