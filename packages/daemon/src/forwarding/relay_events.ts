import { observeConduct } from "../balancing/mod.ts";
import { findEventId } from "./find_event_id.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun, GenerationStream } from "./generation_run.ts";
import type { GenerationHandler, GenerationRefusal } from "./open_generation_exchange.ts";
import { noteLoss } from "./note_loss.ts";
import { sendEvent } from "./send_event.ts";
import { splitEvents } from "./split_events.ts";

/** Creates the handler that relays a stream to the caller, whole events only. */
export function relayEvents(
  context: ForwardingContext,
  run: GenerationRun,
  stream: GenerationStream,
  refuse: (refusal: GenerationRefusal) => void,
): GenerationHandler {
  const { reply } = run.request;
  let head: [number, string, readonly string[]] | undefined;
  let rest: Uint8Array = new Uint8Array();

  const startAnswer = () => {
    if (head !== undefined && !reply.hasStarted()) {
      reply.startParts(...head);
    }
  };
  const receiveEvent = (event: Uint8Array) => {
    const nowMs = context.clock.readMonotonicMs();
    noteFirstEvent(context, run, nowMs);
    noteGap(context, run, stream, nowMs);
    run.lastEventMs = nowMs;
    if (stream.held !== undefined) {
      stream.held.push(event);
      return;
    }
    const id = findEventId(event);
    const isKnown = id !== undefined && run.lastEventId !== undefined && id <= run.lastEventId;
    if (isKnown || run.phase === "ended") {
      return; // the caller has it from before the run went on here, or has left
    }
    startAnswer();
    sendEvent(context, run, event);
  };

  return {
    begin: (status, statusText, rawHeaders) => {
      head = [status, statusText, rawHeaders];
    },
    receiveData: (chunk) => {
      if (run.phase === "ended" || stream.isDetached) {
        return;
      }
      const split = splitEvents(rest, chunk);
      rest = split.rest;
      split.events.forEach(receiveEvent);
    },
    end: () => {
      stream.closed = "end";
      stream.noteClosed?.();
      if (run.phase === "ended" || stream.isDetached) {
        return;
      }
      stream.held?.forEach((event) => sendEvent(context, run, event));
      startAnswer();
      if (rest.length > 0) {
        reply.sendPart(rest);
      }
      reply.endParts();
      context.quarantine.noteEnd(run.request.fingerprint, true);
      run.finish("answered");
    },
    fail: (reason) => {
      stream.closed = "fail";
      stream.noteClosed?.();
      if (!stream.hasEvent && run.upstream !== undefined && !stream.isDetached) {
        noteLoss(context, run.request, run.upstream);
      }
      if (run.phase === "running" && !stream.isDetached) {
        run.restore(reason);
      }
    },
    refuse,
  };
}

/** Observes the time between two events of one stream; the first event of a stream has none. */
function noteGap(
  context: ForwardingContext,
  run: GenerationRun,
  stream: GenerationStream,
  nowMs: number,
): void {
  const isFirst = !stream.hasEvent;
  stream.hasEvent = true;
  if (isFirst || run.upstream === undefined) {
    return;
  }
  const gapMs = nowMs - run.lastEventMs;
  const tokens = run.request.service.engine?.tokensPerEvent ?? 1;
  context.metrics.distribution("forwarding.eventGap", gapMs);
  observeConduct(context.loads, {
    upstreamId: run.upstream.record.id,
    tokenMs: gapMs / tokens,
  });
}

function noteFirstEvent(context: ForwardingContext, run: GenerationRun, nowMs: number): void {
  const { flight, request } = run;
  if (flight === undefined || !flight.isReading) {
    return;
  }
  flight.isReading = false;
  const readTokens = flight.promptTokens + flight.aheadTokens;
  const tokensPerMs = readTokens / Math.max(1, nowMs - flight.placedMs);
  observeConduct(context.loads, {
    upstreamId: flight.upstreamId,
    hasFailed: false,
    ...(flight.promptTokens > 0 ? { tokensPerMs } : {}),
  });
  context.metrics.distribution("forwarding.firstPart", nowMs - request.arrivedMs);
  context.noteLoadChange();
}
