import type { KvCacheSource } from "../adapters/deployment_dialect.ts";
import type { InFlightRequest } from "../balancing/mod.ts";
import { hasNotExecuted } from "../retries/mod.ts";
import type { Upstream } from "../upstreams/mod.ts";
import { chooseGenerationUpstream } from "./choose_generation_upstream.ts";
import { createGenerationStream } from "./create_generation_stream.ts";
import { dropKeptCache } from "./drop_kept_cache.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun, GenerationStream } from "./generation_run.ts";
import { recordGenerationLoss } from "./record_generation_loss.ts";
import { recordReachability } from "./record_reachability.ts";
import { openGenerationExchange } from "./open_generation_exchange.ts";
import { relayEvents } from "./relay_events.ts";
import { stopFormerEngine } from "./stop_former_engine.ts";

/** Options of {@link resumeGeneration}. */
export interface ResumeOptions {
  readonly upstream: Upstream;
  readonly source: KvCacheSource;
  /** How the KV cache was transferred to the upstream, for the log. */
  readonly way: "copy" | "move";
  /** Timeout for the upstream to start its response. */
  readonly timeoutMs: number;
  /** Called when the upstream resumes the generation. */
  readonly handleStart?: () => void;
  /**
   * Called when the generation is not resumed: the upstream did not start a stream in time.
   * `isUnexecuted` states that the upstream certainly did not resume it.
   */
  readonly refuse: (reason: string, isUnexecuted: boolean) => void;
}

/**
 * Requests an upstream that has a generation's KV cache to resume it after the last event sent to
 * the caller. When the new stream starts, the former one is closed, and its engine told to stop
 * unless that was done before.
 */
export function resumeGeneration(
  context: ForwardingContext,
  run: GenerationRun,
  options: ResumeOptions,
): void {
  const { request } = run;
  const { upstream } = options;
  const formerInFlight = run.inFlight;
  const inFlight: InFlightRequest = {
    requestId: request.requestId,
    upstreamId: upstream.record.id,
    copyUpstreamId: undefined,
    moveUpstreamId: undefined,
    promptTokens: request.head.promptTokens,
    maxOutputTokens: request.head.maxOutputTokens,
    expectedTokens: request.head.expectedTokens,
    producedTokens: formerInFlight?.producedTokens ?? 0,
    isPrefilling: false,
    placedAtMs: context.clock.readMonotonicMs(),
    aheadTokens: 0,
  };
  const backupTarget = request.service.engine?.canBackUp === true
    ? chooseGenerationUpstream(context, {
      request,
      purpose: "copy",
      among: "preferUnlimited",
      inFlight,
      excluded: new Set([upstream.record.id, formerInFlight?.upstreamId ?? ""]),
      nearDataCentre: upstream.record.dataCentre,
    })?.upstream
    : undefined;
  inFlight.copyUpstreamId = backupTarget?.record.id;
  const formerStream = run.stream;
  const stream = createGenerationStream();
  run.resumingStream = stream;
  run.resumingAt = upstream;
  /** Tells the upstream to stop: it may have begun, and its response may have been lost. */
  const giveUp = async (reason: string) => {
    run.resumingAt = undefined;
    run.hasLateTarget = true;
    const left = await stopFormerEngine(context, run, {
      ...{ left: upstream, stream },
      target: run.upstream ?? upstream,
      mayStartLate: true,
    });
    dropKeptCache(context, run, left.type === "stopped" ? left.cache : undefined);
    options.refuse(reason, false);
  };
  const timer = context.clock.startTimer(options.timeoutMs, () => {
    stream.exchange?.abort(request.route.isResumable);
    giveUp("no response within the resume timeout").catch(run.reportFault);
  });
  const relay = relayEvents(context, run, stream, (failure) => {
    timer.cancel();
    recordReachability(context, upstream.record.id, failure.outcome);
    if (failure.isConnectionLost) {
      recordGenerationLoss(context, run, upstream, { hasHead: false, firstEventAtMs: undefined });
    }
    if (failure.outcome === "broken") {
      giveUp(failure.reason).catch(run.reportFault);
      return;
    }
    run.resumingAt = undefined;
    options.refuse(failure.reason, hasNotExecuted(failure.outcome));
  });
  /** Closing its stream may not reach the former engine. */
  const confirmStop = async (left: Upstream, formerStream: GenerationStream) => {
    if (formerStream.stopCalls !== undefined) {
      return; // it was told before the generation was resumed
    }
    const former = await stopFormerEngine(context, run, {
      ...{ left, stream: formerStream, target: upstream },
      hasPermit: true,
    });
    dropKeptCache(context, run, former.type === "stopped" ? former.cache : undefined);
  };
  const startMs = context.clock.readMonotonicMs();
  stream.exchange = openGenerationExchange(context, {
    request,
    upstream,
    backupTarget,
    resumeFrom: options.source,
    lastEventId: run.lastEventId,
  }, {
    ...relay,
    start: (status, statusText, rawHeaders) => {
      timer.cancel();
      if (run.phase === "ended") {
        stream.exchange?.abort();
        return;
      }
      const former = {
        former: run.upstream?.record.id ?? "none",
        formerStream: formerStream?.closed ?? "open",
        formerQuietMs: Math.round(context.clock.readMonotonicMs() - run.lastEventAtMs),
      };
      if (run.upstream !== undefined && formerStream !== undefined) {
        formerStream.isDetached = true;
        formerStream.exchange?.abort();
        run.tried.add(run.upstream.record.id);
        confirmStop(run.upstream, formerStream).catch(run.reportFault);
      }
      run.phase = "running";
      run.stream = stream;
      run.resumingStream = undefined;
      run.resumingAt = undefined;
      run.hasLateTarget = false;
      run.upstream = upstream;
      run.inFlight = inFlight;
      // No event has arrived on this stream; the gap to its first event is measured from here.
      run.lastEventAtMs = context.clock.readMonotonicMs();
      context.loads.inFlightRequests.set(request.requestId, inFlight);
      context.reportLoadIncrease();
      context.logger.writeEvent("generationContinued", {
        request: request.requestId,
        upstream: upstream.record.id,
        way: options.way,
        ...former,
        copy: backupTarget?.record.id ?? "none",
        afterEvent: run.lastEventId ?? -1,
        tookMs: Math.round(run.lastEventAtMs - startMs),
      });
      relay.start(status, statusText, rawHeaders);
      options.handleStart?.();
    },
  });
}
