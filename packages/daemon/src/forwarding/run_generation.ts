import { observePerformance } from "../balancing/mod.ts";
import type { InFlightRequest, UpstreamCandidate } from "../balancing/mod.ts";
import { QUARANTINE_DEFAULTS } from "../quarantine/mod.ts";
import { decideRetry, hasNotExecuted } from "../retries/mod.ts";
import { findShortestPause, listUsableUpstreams } from "../upstreams/mod.ts";
import type { Upstream } from "../upstreams/mod.ts";
import type { PlacementTurn, WaitQueue, WaitQueueEntry } from "../waiting/mod.ts";
import { getServiceBudget } from "./get_service_budget.ts";
import { chooseGenerationUpstream } from "./choose_generation_upstream.ts";
import { computeMaxWait } from "./compute_max_wait.ts";
import { computeRetryAfter } from "./compute_retry_after.ts";
import { computeServiceRetryAfter } from "./compute_service_retry_after.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import { createLimitedStart } from "./create_limited_start.ts";
import { describeWaitingRequest } from "./describe_waiting_request.ts";
import { createGenerationStream } from "./create_generation_stream.ts";
import type { ForwardedRequest } from "./forwarded_request.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun } from "./generation_run.ts";
import { offerRequest } from "./offer_request.ts";
import { isHeldBack } from "./is_held_back.ts";
import { recordGenerationLoss } from "./record_generation_loss.ts";
import { recordReachability } from "./record_reachability.ts";
import { openGenerationExchange } from "./open_generation_exchange.ts";
import type { StartFailure } from "./open_generation_exchange.ts";
import { REFUSAL_DETAILS } from "./refusal_details.ts";
import { restoreGeneration } from "./restore_generation.ts";
import { relayEvents } from "./relay_events.ts";

/** Options of {@link runGeneration}. */
export interface GenerationOptions {
  readonly request: ForwardedRequest;
  readonly waitQueue: WaitQueue;
  /** Called with an error of this host that leaves the run without an end. */
  readonly reportFault: (error: unknown) => void;
  /** Called once when the run has ended. */
  readonly finish: (end: string, run: GenerationRun) => void;
}

/** Starts a generation: places it on an upstream, or queues it until one has room. */
export function runGeneration(
  context: ForwardingContext,
  options: GenerationOptions,
): GenerationRun {
  const { request } = options;
  const budget = getServiceBudget(context, request.service.name);
  const excluded = new Set<string>();
  let unexecutedAttempts = 0;
  let isCounted = request.isCounted;
  const run: GenerationRun = {
    request,
    phase: "waiting",
    upstream: undefined,
    stream: undefined,
    inFlight: undefined,
    lastEventId: undefined,
    sentEvents: 0,
    lastSentAtMs: undefined,
    firstEventMs: 0,
    longestGapMs: 0,
    lastEventAtMs: context.clock.readMonotonicMs(),
    silenceCheckAtMs: 0,
    isMigrating: false,
    restore: (reason) => restoreGeneration(context, run, reason),
    finish: (end) => {
      if (run.phase === "ended") {
        return;
      }
      run.phase = "ended";
      limitedStart.cancel();
      run.stream?.exchange?.abort();
      context.loads.inFlightRequests.delete(request.requestId);
      context.reportLoadChange();
      options.finish(end, run);
    },
  };

  const handleStartFailure = (upstream: Upstream, failure: StartFailure) => {
    if (run.phase === "ended") {
      return;
    }
    recordReachability(context, upstream.record.id, failure.outcome);
    if (failure.isConnectionLost) {
      recordGenerationLoss(context, run, upstream, { hasHead: false, firstEventAtMs: undefined });
    }
    if (!context.reachability.isUnreachable(upstream.record.service)) {
      observePerformance(context.loads, { upstreamId: upstream.record.id, hasFailed: true });
    }
    context.loads.inFlightRequests.delete(request.requestId);
    context.reportLoadChange();
    const isUnexecuted = hasNotExecuted(failure.outcome);
    unexecutedAttempts += Number(isUnexecuted);
    excluded.add(upstream.record.id);
    const decision = decideRetry({
      kind: request.route.kind,
      outcome: failure.outcome,
      executedAttempts: isUnexecuted ? 0 : 1,
      unexecutedAttempts,
      maxAttempts: request.route.maxAttempts,
      hasBudget: budget.hasRoom(),
      isQuarantined: isHeldBack(context, request),
      leftMs: request.deadlineAtMs - context.clock.readMonotonicMs(),
    });
    if (decision === "retry") {
      context.metrics.increment("forwarding.repeats", 1, { outcome: failure.outcome });
      context.logger.writeEvent("requestRepeated", {
        request: request.requestId,
        upstream: upstream.record.id,
        outcome: failure.outcome,
        reason: failure.reason,
      });
      start();
      return;
    }
    if (decision === "relay") {
      const { status, statusText, rawHeaders, body } = failure;
      request.reply.sendResponse(status, statusText, rawHeaders, body);
      run.finish(failure.outcome);
      return;
    }
    if (decision === "notRun") {
      const retryAfterMs = computeServiceRetryAfter(context, request.service.name);
      request.reply.refuse("noUpstreamLeft", failure.reason, retryAfterMs);
      run.finish("notRun");
      return;
    }
    // The upstream did not rule out execution, so resume from the backup copy if there is one.
    run.restore(failure.reason);
  };

  const startAttempt = ({ upstream, load }: UpstreamCandidate) => {
    const nowMs = context.clock.readMonotonicMs();
    const { promptTokens, maxOutputTokens, expectedTokens } = request.head;
    const size = { promptTokens, maxOutputTokens, expectedTokens, producedTokens: 0 };
    const backupTarget = chooseBackupTarget(context, request, upstream, size);
    const inFlight: InFlightRequest = {
      requestId: request.requestId,
      upstreamId: upstream.record.id,
      copyUpstreamId: backupTarget?.record.id,
      ...size,
      isPrefilling: true,
      placedAtMs: nowMs,
      aheadTokens: load.prefillingTokens,
    };
    context.loads.inFlightRequests.set(request.requestId, inFlight);
    context.reportLoadIncrease();
    options.waitQueue.recordStart(describeWaitingRequest(request), nowMs);
    if (unexecutedAttempts > 0) {
      budget.countRetry();
    }
    run.phase = "running";
    run.upstream = upstream;
    run.inFlight = inFlight;
    run.lastEventAtMs = nowMs;
    context.logger.writeEvent("requestPlaced", {
      request: request.requestId,
      route: request.route.name,
      upstream: upstream.record.id,
      copy: backupTarget?.record.id ?? "none",
      running: load.inFlight,
      memoryTokens: load.memoryTokens,
      aheadTokens: inFlight.aheadTokens,
      waitedMs: Math.round(nowMs - request.arrivedAtMs),
      leftMs: Math.round(request.deadlineAtMs - nowMs),
    });
    const stream = createGenerationStream();
    run.stream = stream;
    stream.exchange = openGenerationExchange(
      context,
      { request, upstream, backupTarget, lastEventId: undefined },
      relayEvents(context, run, stream, (failure) => handleStartFailure(upstream, failure)),
    );
  };

  const tryPlace = (turn?: PlacementTurn) => {
    if (run.phase !== "waiting") {
      return true;
    }
    if (isHeldBack(context, request)) {
      refuseHeldBack();
      return true;
    }
    const chosen = chooseGenerationUpstream(context, {
      ...describeChoice(),
      among: "unlimited",
      ...(turn === undefined ? {} : { turn }),
    });
    if (chosen !== undefined) {
      limitedStart.cancel();
      startAttempt(chosen);
      return true;
    }
    limitedStart.start(0).catch(options.reportFault);
    return false;
  };
  const describeChoice = () => {
    const { promptTokens, maxOutputTokens, expectedTokens } = request.head;
    return {
      request,
      purpose: "start",
      inFlight: { promptTokens, maxOutputTokens, expectedTokens, producedTokens: 0 },
      excluded,
    } as const;
  };

  const limitedStart = createLimitedStart({ context, run, describeChoice, startAttempt });

  const refuseHeldBack = () => {
    const { quarantineMs } = QUARANTINE_DEFAULTS;
    request.reply.refuse("requestHeldBack", REFUSAL_DETAILS.requestHeldBack, quarantineMs);
    run.finish("heldBack");
  };
  const refuseQueued = (detail: string, retryAfterMs = computeRetryAfter(context.random)) => {
    if (run.phase !== "waiting") {
      return; // a permit has come in the meantime
    }
    request.reply.refuse("noRoomInTime", detail, retryAfterMs);
    run.finish("refused");
  };

  const listLeft = (nowMs: number) =>
    listUsableUpstreams(context.upstreams, request.service.name, nowMs)
      .filter(({ record }) => !excluded.has(record.id));
  const areAllLimited = (nowMs: number) => {
    const left = listLeft(nowMs);
    return left.length > 0 &&
      left.every(({ record }) => context.limits.getLimit(record) !== undefined);
  };
  /** Hands the run to another host if this one does not reach its service. */
  const start = () => {
    startElsewhere().catch(options.reportFault);
  };
  const startElsewhere = async () => {
    const stream = createGenerationStream();
    run.phase = "handedOver";
    run.stream = stream;
    const end = await offerRequest(context, request, {
      isCounted,
      receiveExchange: (exchange) => {
        stream.exchange = exchange;
      },
    });
    if (run.phase !== "handedOver") {
      return;
    }
    if (end !== undefined) {
      run.finish(end);
      return;
    }
    run.stream = undefined;
    if (!isCounted) {
      budget.countRequest();
      isCounted = true;
    }
    startOrQueue();
  };
  const startOrQueue = () => {
    run.phase = "waiting";
    const nowMs = context.clock.readMonotonicMs();
    if (areAllLimited(nowMs) && !isHeldBack(context, request)) {
      startLimitedOrQueue(nowMs).catch(options.reportFault);
      return;
    }
    const isPlaced = options.waitQueue.isContested(request.service.name, nowMs)
      ? options.waitQueue.placeNew(describeWaiting(), nowMs)
      : tryPlace();
    if (!isPlaced) {
      enqueue(nowMs);
    }
  };
  /** Waits for a permit; is refused at once if none comes in time. */
  const startLimitedOrQueue = async (nowMs: number) => {
    const waitMs = Math.max(0, computeMaxWait(request) - (nowMs - request.arrivedAtMs));
    const retryAfterMs = await limitedStart.start(waitMs);
    if (run.phase !== "waiting") {
      return;
    }
    const endMs = context.clock.readMonotonicMs();
    if (retryAfterMs === undefined || !areAllLimited(endMs)) {
      enqueue(endMs);
      return;
    }
    request.reply.refuse("limitReached", REFUSAL_DETAILS.limitReached, retryAfterMs);
    run.finish("limited");
  };

  const enqueue = (nowMs: number) => {
    const waitMs = computeMaxWait(request);
    const { name } = request.service;
    const pauseMs = findShortestPause(context.upstreams, name, nowMs, excluded) ?? Infinity;
    const isPauseShort = nowMs + pauseMs < request.arrivedAtMs + waitMs;
    if (listLeft(nowMs).length === 0 && !isPauseShort) {
      const detail = `service ${name} has no upstream left to try`;
      request.reply.refuse("noUpstreamLeft", detail, computeServiceRetryAfter(context, name));
      run.finish("noUpstreamLeft");
      return;
    }
    if (!options.waitQueue.add(describeWaiting())) {
      refuseQueued("the wait queue of this host is full");
    }
  };
  const describeWaiting = (): WaitQueueEntry => ({
    ...describeWaitingRequest(request),
    isWaiting: () => run.phase === "waiting",
    tryPlace,
    expire: () => refuseQueued("no engine had room within the maximum wait"),
    refuse: (retryAfterMs) =>
      refuseQueued("no engine is expected to have room within the maximum wait", retryAfterMs),
  });

  request.reply.onDisconnect(() => {
    context.logger.writeEvent("callerLeft", { request: request.requestId });
    run.finish("callerLeft");
  });
  start();
  return run;
}

function chooseBackupTarget(
  context: ForwardingContext,
  request: ForwardedRequest,
  upstream: Upstream,
  inFlight: Pick<
    InFlightRequest,
    "promptTokens" | "producedTokens" | "expectedTokens" | "maxOutputTokens"
  >,
): Upstream | undefined {
  if (
    request.service.engine?.canBackUp !== true ||
    inFlight.expectedTokens < FORWARDING_LIMITS.minBackupTokens
  ) {
    return undefined;
  }
  return chooseGenerationUpstream(context, {
    request,
    purpose: "copy",
    among: "preferUnlimited",
    inFlight,
    excluded: new Set([upstream.record.id]),
    nearDataCentre: upstream.record.dataCentre,
  })?.upstream;
}
