import { findEventId } from "./find_event_id.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun } from "./generation_run.ts";

/** Sends one complete event to the caller and counts it. */
export function sendEvent(context: ForwardingContext, run: GenerationRun, event: Uint8Array): void {
  const { request, inFlight } = run;
  run.lastEventId = findEventId(event) ?? run.lastEventId;
  run.sentEvents++;
  recordSentTime(context, run);
  if (inFlight !== undefined) {
    inFlight.producedTokens = (run.formerEvents + run.sentEvents) *
      (request.service.engine?.tokensPerEvent ?? 1);
  }
  if (!request.reply.sendChunk(event)) {
    context.logger.writeEvent("answerCut", {
      request: request.requestId,
      reason: "the caller reads too slowly",
      events: run.sentEvents,
    });
    request.reply.abort();
    run.finish("slowCaller");
  }
}

function recordSentTime(context: ForwardingContext, run: GenerationRun): void {
  const nowMs = context.clock.readMonotonicMs();
  if (run.lastSentAtMs === undefined) {
    run.firstEventMs = nowMs - run.request.arrivedAtMs;
  } else {
    run.longestGapMs = Math.max(run.longestGapMs, nowMs - run.lastSentAtMs);
  }
  run.lastSentAtMs = nowMs;
}
