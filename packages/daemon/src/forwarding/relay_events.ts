import { observePerformance } from "../balancing/mod.ts";
import { checkEventOrder } from "./check_event_order.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import { createEventSplitter } from "./create_event_splitter.ts";
import { decideStreamEnd } from "./decide_stream_end.ts";
import { findBodyFraming } from "./find_body_framing.ts";
import { findEventId } from "./find_event_id.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun, GenerationStream, RerunCause } from "./generation_run.ts";
import type { GenerationHandler, StartFailure } from "./open_generation_exchange.ts";
import { recordGenerationLoss } from "./record_generation_loss.ts";
import { recordStreamClose } from "./record_stream_close.ts";
import { sendEvent } from "./send_event.ts";

/** Creates the handler that relays a stream to the caller in complete events. */
export function relayEvents(
  context: ForwardingContext,
  run: GenerationRun,
  stream: GenerationStream,
  refuse: (failure: StartFailure) => void,
): GenerationHandler {
  const { reply } = run.request;
  let head: [number, string, readonly string[]] | undefined;
  let firstEventAtMs: number | undefined;
  let isWellUnderWay = false;
  const splitter = createEventSplitter();
  let bytesSinceNewId = 0;
  let hasFailed = false;
  let lastReceivedId: number | undefined;
  /** The events that arrive are ones that another engine has sent already. */
  let isReplaying = false;

  const startAnswer = () => {
    if (head !== undefined && !reply.hasStarted()) {
      reply.startStream(...head);
    }
  };
  const recordClose = (failure?: string) => {
    if (!stream.isDetached && run.phase !== "ended") {
      const [, , rawHeaders = []] = head ?? [];
      recordStreamClose(context, run, {
        rawHeaders,
        failure,
        remainingBytes: splitter.countRemaining(),
      });
    }
  };
  /** Whether an event is to be sent; a resumable stream that has left one out fails instead. */
  const acceptOrder = (id: number | undefined) => {
    const knownId = Math.max(lastReceivedId ?? -1, run.lastEventId ?? -1);
    const order = checkEventOrder(id, knownId < 0 ? undefined : knownId);
    if (order === "missing") {
      context.logger.writeEvent("streamSkippedEvents", {
        request: run.request.requestId,
        upstream: run.upstream?.record.id ?? "none",
        expected: knownId + 1,
        received: id ?? -1,
      });
      hasFailed = true;
      stream.exchange?.abort();
      handleFailure(`stream goes on with event ${id} after ${knownId}`, "skippedEvent");
    }
    if (id !== undefined) {
      isReplaying = order === "known" && id < knownId;
      lastReceivedId = order === "next" ? id : lastReceivedId;
    }
    return order === "next" && !isReplaying;
  };
  const receiveEvent = (event: Uint8Array) => {
    if (hasFailed) {
      return;
    }
    const nowMs = context.clock.readMonotonicMs();
    recordFirstEvent(context, run, nowMs);
    if (firstEventAtMs !== undefined) {
      recordEventGap(context, run, nowMs);
    }
    firstEventAtMs ??= nowMs;
    if (!isWellUnderWay && nowMs - firstEventAtMs >= FORWARDING_LIMITS.firstStepsMs) {
      isWellUnderWay = true;
      context.promptParts.recordSound(run.request.partKeys);
    }
    run.lastEventAtMs = nowMs;
    const id = findEventId(event);
    if (run.request.route.isResumable && !acceptOrder(id)) {
      return;
    }
    if (stream.bufferedEvents !== undefined) {
      stream.bufferedEvents.push(event);
      return;
    }
    const isDuplicate = id !== undefined && run.lastEventId !== undefined && id <= run.lastEventId;
    if (isDuplicate || run.phase === "ended") {
      return; // it was sent before the generation resumed here, or the run has ended
    }
    bytesSinceNewId = id === undefined ? bytesSinceNewId : 0;
    startAnswer();
    sendEvent(context, run, event);
  };

  const handleFailure = (reason: string, cause: RerunCause = "brokenStream") => {
    stream.closed = "fail";
    stream.handleClose?.();
    if (run.upstream !== undefined && !stream.isDetached) {
      recordGenerationLoss(context, run, run.upstream, { hasHead: true, firstEventAtMs });
    }
    if (run.phase === "running" && !stream.isDetached) {
      run.restore(reason, cause);
    }
  };

  return {
    start: (status, statusText, rawHeaders) => {
      head = [status, statusText, rawHeaders];
    },
    receiveData: (chunk) => {
      if (run.phase === "ended" || stream.isDetached) {
        return;
      }
      const events = splitter.add(chunk);
      bytesSinceNewId += chunk.length;
      events.forEach(receiveEvent);
      if (bytesSinceNewId > FORWARDING_LIMITS.maxEventBytes) {
        stream.exchange?.abort();
        handleFailure("stream has no new event within the largest size of one");
      }
    },
    end: () => {
      recordClose();
      const decision = decideStreamEnd({
        framing: findBodyFraming(head?.[2] ?? []),
        hasEvent: firstEventAtMs !== undefined,
        remainingBytes: splitter.countRemaining(),
      });
      if (decision.type === "brokenOff") {
        handleFailure(decision.reason);
        return;
      }
      stream.closed = "end";
      stream.handleClose?.();
      if (run.phase === "ended" || stream.isDetached) {
        return;
      }
      stream.bufferedEvents?.forEach((event) => sendEvent(context, run, event));
      startAnswer();
      reply.endStream();
      context.quarantine.recordRequestEnd(run.request.fingerprint, true);
      context.promptParts.recordSound(run.request.partKeys);
      run.finish("answered");
    },
    fail: (reason) => {
      recordClose(reason);
      handleFailure(reason);
    },
    refuse,
  };
}

/** Records the time between two events of a stream. */
function recordEventGap(context: ForwardingContext, run: GenerationRun, nowMs: number): void {
  if (run.upstream === undefined) {
    return;
  }
  const gapMs = nowMs - run.lastEventAtMs;
  const tokens = run.request.service.engine?.tokensPerEvent ?? 1;
  context.metrics.distribution("forwarding.eventGap", gapMs);
  observePerformance(context.loads, {
    upstreamId: run.upstream.record.id,
    tokenMs: gapMs / tokens,
  });
}

function recordFirstEvent(context: ForwardingContext, run: GenerationRun, nowMs: number): void {
  const { inFlight, request } = run;
  if (inFlight === undefined || !inFlight.isPrefilling) {
    return;
  }
  inFlight.isPrefilling = false;
  const prefilledTokens = inFlight.promptTokens + inFlight.aheadTokens;
  const tokensPerMs = prefilledTokens / Math.max(1, nowMs - inFlight.placedAtMs);
  observePerformance(context.loads, {
    upstreamId: inFlight.upstreamId,
    hasFailed: false,
    ...(inFlight.promptTokens > 0 ? { tokensPerMs } : {}),
  });
  if (run.sentEvents === 0) {
    context.metrics.distribution("forwarding.firstPart", nowMs - request.arrivedAtMs);
  }
  context.reportLoadChange();
}
