import { observeConduct } from "../balancing/mod.ts";
import type { Flight, UpstreamCandidate } from "../balancing/mod.ts";
import { decideRetry, hasNotRun } from "../retries/mod.ts";
import { listUsableUpstreams } from "../upstreams/mod.ts";
import type { Upstream } from "../upstreams/mod.ts";
import { checkBudget } from "./check_budget.ts";
import { chooseGenerationUpstream } from "./choose_generation_upstream.ts";
import { computeRetryAfter } from "./compute_retry_after.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import { createGenerationStream } from "./create_generation_stream.ts";
import type { WaitingLine } from "./create_waiting_line.ts";
import type { ForwardedRequest } from "./forwarded_request.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun } from "./generation_run.ts";
import { noteLoss } from "./note_loss.ts";
import { noteReachability } from "./note_reachability.ts";
import { openGenerationExchange } from "./open_generation_exchange.ts";
import type { GenerationRefusal } from "./open_generation_exchange.ts";
import { restoreGeneration } from "./restore_generation.ts";
import { relayEvents } from "./relay_events.ts";

/** Options of {@link runGeneration}. */
export interface GenerationOptions {
  readonly request: ForwardedRequest;
  readonly line: WaitingLine;
  /** Called once when the run has its final answer. */
  readonly finish: (end: string, run: GenerationRun) => void;
}

/** Times the target that a generation is kept waiting at most: callers leave at four times. */
const MAX_WAIT_TARGETS = 2.5;
const MAX_WAIT_LIMIT_SHARE = 0.3;

/** Begins a generation: places it, or lets it wait for room. */
export function runGeneration(
  context: ForwardingContext,
  options: GenerationOptions,
): GenerationRun {
  const { request } = options;
  const budget = checkBudget(context, request.service.name);
  const excluded = new Set<string>();
  let unrunAttempts = 0;
  const run: GenerationRun = {
    request,
    phase: "waiting",
    upstream: undefined,
    stream: undefined,
    flight: undefined,
    lastEventId: undefined,
    sentEvents: 0,
    sentMs: undefined,
    firstEventMs: 0,
    longestGapMs: 0,
    lastEventMs: context.clock.readMonotonicMs(),
    isMoving: false,
    restore: (reason) => restoreGeneration(context, run, reason),
    finish: (end) => {
      if (run.phase === "ended") {
        return;
      }
      run.phase = "ended";
      run.stream?.exchange?.abort();
      context.loads.flights.delete(request.requestId);
      context.noteLoadChange();
      options.finish(end, run);
    },
  };

  const handleRefusal = (upstream: Upstream, refusal: GenerationRefusal) => {
    if (run.phase === "ended") {
      return;
    }
    noteReachability(context, upstream.record.id, refusal.outcome);
    if (refusal.isLost) {
      noteLoss(context, request, upstream);
    }
    observeConduct(context.loads, { upstreamId: upstream.record.id, hasFailed: true });
    context.loads.flights.delete(request.requestId);
    context.noteLoadChange();
    const isUnrun = hasNotRun(refusal.outcome);
    unrunAttempts += Number(isUnrun);
    excluded.add(upstream.record.id);
    const decision = decideRetry({
      kind: request.route.kind,
      outcome: refusal.outcome,
      ranAttempts: isUnrun ? 0 : 1,
      unrunAttempts,
      maxAttempts: request.route.maxAttempts,
      hasBudget: budget.hasRoom(),
      isQuarantined: context.quarantine.isQuarantined(request.fingerprint),
      leftMs: request.limitMs - context.clock.readMonotonicMs(),
    });
    if (decision === "retry") {
      context.metrics.increment("forwarding.repeats", 1, { outcome: refusal.outcome });
      context.logger.writeEvent("requestRepeated", {
        request: request.requestId,
        upstream: upstream.record.id,
        outcome: refusal.outcome,
        reason: refusal.reason,
      });
      begin();
      return;
    }
    if (decision === "passOn") {
      const { status, statusText, rawHeaders, body } = refusal;
      request.reply.sendWhole(status, statusText, rawHeaders, body);
      run.finish(refusal.outcome);
      return;
    }
    if (decision === "notRun") {
      request.reply.refuse("noUpstreamLeft", refusal.reason, computeRetryAfter(context.random));
      run.finish("notRun");
      return;
    }
    // Without a word of the upstream it may have run: its copy, if there is one, goes on.
    run.restore(refusal.reason);
  };

  const launch = ({ upstream, load }: UpstreamCandidate) => {
    const nowMs = context.clock.readMonotonicMs();
    const { promptTokens, maxOutputTokens, expectedTokens } = request.head;
    const size = { promptTokens, maxOutputTokens, expectedTokens, producedTokens: 0 };
    const copyTo = chooseCopy(context, request, upstream, size);
    const flight: Flight = {
      requestId: request.requestId,
      upstreamId: upstream.record.id,
      copyUpstreamId: copyTo?.record.id,
      ...size,
      isReading: true,
      placedMs: nowMs,
      aheadTokens: load.readingTokens,
    };
    context.loads.flights.set(request.requestId, flight);
    context.noteLoadAdded();
    if (unrunAttempts > 0) {
      budget.countRepeat();
    }
    run.phase = "running";
    run.upstream = upstream;
    run.flight = flight;
    run.lastEventMs = nowMs;
    context.logger.writeEvent("requestPlaced", {
      request: request.requestId,
      route: request.route.name,
      upstream: upstream.record.id,
      copy: copyTo?.record.id ?? "none",
      running: load.flights,
      memoryTokens: load.memoryTokens,
      aheadTokens: flight.aheadTokens,
      waitedMs: Math.round(nowMs - request.arrivedMs),
      leftMs: Math.round(request.limitMs - nowMs),
    });
    const stream = createGenerationStream();
    run.stream = stream;
    stream.exchange = openGenerationExchange(
      context,
      { request, upstream, copyTo, lastEventId: undefined },
      relayEvents(context, run, stream, (refusal) => handleRefusal(upstream, refusal)),
    );
  };

  const tryPlace = () => {
    if (run.phase === "ended") {
      return true;
    }
    const { promptTokens, maxOutputTokens, expectedTokens } = request.head;
    const chosen = chooseGenerationUpstream(context, {
      request,
      purpose: "begin",
      flight: { promptTokens, maxOutputTokens, expectedTokens, producedTokens: 0 },
      excluded,
    });
    if (chosen === undefined) {
      return false;
    }
    launch(chosen);
    return true;
  };

  const refuseWaiting = (detail: string) => {
    request.reply.refuse("noRoomInTime", detail, computeRetryAfter(context.random));
    run.finish("refused");
  };

  const begin = () => {
    run.phase = "waiting";
    if (tryPlace()) {
      return;
    }
    const nowMs = context.clock.readMonotonicMs();
    const usable = listUsableUpstreams(context.upstreams, request.service.name, nowMs);
    if (usable.every(({ record }) => excluded.has(record.id))) {
      const detail = `service ${request.service.name} has no upstream left to try`;
      request.reply.refuse("noUpstreamLeft", detail, computeRetryAfter(context.random));
      run.finish("noUpstreamLeft");
      return;
    }
    const { targetMs } = request.route;
    const waitMs = Math.min(
      targetMs * MAX_WAIT_TARGETS,
      (request.limitMs - request.arrivedMs) * MAX_WAIT_LIMIT_SHARE,
    );
    const isAdded = options.line.add({
      priority: request.priority,
      arrivedMs: request.arrivedMs,
      inTimeUntilMs: request.arrivedMs + targetMs,
      giveUpMs: request.arrivedMs + waitMs,
      tryPlace,
      giveUp: () => refuseWaiting("no engine has had room within the wait"),
    });
    if (!isAdded) {
      refuseWaiting("too many generations wait at this host");
    }
  };

  request.reply.onCallerLeft(() => {
    context.logger.writeEvent("callerLeft", { request: request.requestId });
    run.finish("callerLeft");
  });
  budget.countRequest();
  begin();
  return run;
}

function chooseCopy(
  context: ForwardingContext,
  request: ForwardedRequest,
  upstream: Upstream,
  flight: Pick<Flight, "promptTokens" | "producedTokens" | "expectedTokens" | "maxOutputTokens">,
): Upstream | undefined {
  if (
    request.service.engine?.canBackUp !== true ||
    flight.expectedTokens < FORWARDING_LIMITS.minCopiedTokens
  ) {
    return undefined;
  }
  return chooseGenerationUpstream(context, {
    request,
    purpose: "copy",
    flight,
    excluded: new Set([upstream.record.id]),
    nearDataCentre: upstream.record.dataCentre,
  })?.upstream;
}
