import type { MemorySource } from "../adapters/deployment_dialect.ts";
import type { Flight } from "../balancing/mod.ts";
import type { Upstream } from "../upstreams/mod.ts";
import { chooseGenerationUpstream } from "./choose_generation_upstream.ts";
import { createGenerationStream } from "./create_generation_stream.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun } from "./generation_run.ts";
import { noteLoss } from "./note_loss.ts";
import { noteReachability } from "./note_reachability.ts";
import { openGenerationExchange } from "./open_generation_exchange.ts";
import { relayEvents } from "./relay_events.ts";

/** Options of {@link resumeGeneration}. */
export interface ResumeOptions {
  readonly upstream: Upstream;
  readonly source: MemorySource;
  /** How the memory came there, for the log. */
  readonly way: "copy" | "move";
  /** Time for the upstream to begin. */
  readonly timeoutMs: number;
  /** The upstream goes on with it. */
  readonly noteBegin?: () => void;
  /** The upstream does not go on with it. */
  readonly refuse: (reason: string) => void;
}

/**
 * Asks an upstream that has a generation's memory to go on after the caller's last event. The former
 * stream is closed when the other upstream begins.
 */
export function resumeGeneration(
  context: ForwardingContext,
  run: GenerationRun,
  options: ResumeOptions,
): void {
  const { request } = run;
  const { upstream } = options;
  const old = run.flight;
  const flight: Flight = {
    requestId: request.requestId,
    upstreamId: upstream.record.id,
    copyUpstreamId: undefined,
    promptTokens: request.head.promptTokens,
    maxOutputTokens: request.head.maxOutputTokens,
    expectedTokens: request.head.expectedTokens,
    producedTokens: old?.producedTokens ?? 0,
    isReading: false,
    placedMs: context.clock.readMonotonicMs(),
    aheadTokens: 0,
  };
  const copyTo = request.service.engine?.canBackUp === true
    ? chooseGenerationUpstream(context, {
      request,
      purpose: "copy",
      flight,
      excluded: new Set([upstream.record.id, old?.upstreamId ?? ""]),
      nearDataCentre: upstream.record.dataCentre,
    })?.upstream
    : undefined;
  flight.copyUpstreamId = copyTo?.record.id;
  const former = run.stream;
  const stream = createGenerationStream();
  const timer = context.clock.startTimer(options.timeoutMs, () => {
    stream.exchange?.abort();
    options.refuse("no answer within the time to go on");
  });
  const relay = relayEvents(context, run, stream, (refusal) => {
    timer.cancel();
    noteReachability(context, upstream.record.id, refusal.outcome);
    if (refusal.isLost) {
      noteLoss(context, request, upstream);
    }
    options.refuse(refusal.reason);
  });
  const startMs = context.clock.readMonotonicMs();
  stream.exchange = openGenerationExchange(context, {
    request,
    upstream,
    copyTo,
    resumeFrom: options.source,
    lastEventId: run.lastEventId,
  }, {
    ...relay,
    begin: (status, statusText, rawHeaders) => {
      timer.cancel();
      if (run.phase === "ended") {
        stream.exchange?.abort();
        return;
      }
      if (former !== undefined) {
        former.isDetached = true;
        former.exchange?.abort();
      }
      run.phase = "running";
      run.stream = stream;
      run.upstream = upstream;
      run.flight = flight;
      run.lastEventMs = context.clock.readMonotonicMs();
      context.loads.flights.set(request.requestId, flight);
      context.noteLoadAdded();
      context.logger.writeEvent("generationContinued", {
        request: request.requestId,
        upstream: upstream.record.id,
        way: options.way,
        copy: copyTo?.record.id ?? "none",
        afterEvent: run.lastEventId ?? -1,
        tookMs: Math.round(run.lastEventMs - startMs),
      });
      relay.begin(status, statusText, rawHeaders);
      options.noteBegin?.();
    },
  });
}
