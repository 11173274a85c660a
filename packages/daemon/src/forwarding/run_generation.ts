import { observePerformance } from "../balancing/mod.ts";
import type { InFlightRequest, UpstreamCandidate } from "../balancing/mod.ts";
import { QUARANTINE_DEFAULTS } from "../quarantine/mod.ts";
import { hasNotExecuted } from "../retries/mod.ts";
import { findShortestPause, isUpstreamReachable, listUsableUpstreams } from "../upstreams/mod.ts";
import type { Upstream } from "../upstreams/mod.ts";
import { getServiceBudget } from "./get_service_budget.ts";
import { chooseGenerationUpstream } from "./choose_generation_upstream.ts";
import { computeMaxWait } from "./compute_max_wait.ts";
import { computeRerunWaitEnd } from "./compute_rerun_wait_end.ts";
import { computeRetryAfter } from "./compute_retry_after.ts";
import { computeServiceRetryAfter } from "./compute_service_retry_after.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import { createLimitedStart } from "./create_limited_start.ts";
import { createGenerationStream } from "./create_generation_stream.ts";
import { decideStreamRecovery } from "./decide_stream_recovery.ts";
import { endInterrupted } from "./end_interrupted.ts";
import { dropKeptCache } from "./drop_kept_cache.ts";
import type { WaitQueue } from "./create_wait_queue.ts";
import type { ForwardedRequest } from "./forwarded_request.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun, RerunCause } from "./generation_run.ts";
import { offerRequest } from "./offer_request.ts";
import { isHeldBack } from "./is_held_back.ts";
import { recordGenerationLoss } from "./record_generation_loss.ts";
import { recordReachability } from "./record_reachability.ts";
import { openGenerationExchange } from "./open_generation_exchange.ts";
import type { StartFailure } from "./open_generation_exchange.ts";
import { REFUSAL_DETAILS } from "./refusal_details.ts";
import type { RefusalCode } from "./refusal_details.ts";
import { restoreGeneration } from "./restore_generation.ts";
import { relayEvents } from "./relay_events.ts";
import { stopFormerEngine } from "./stop_former_engine.ts";

/** Options of {@link runGeneration}. */
export interface GenerationOptions {
  readonly request: ForwardedRequest;
  readonly waitQueue: WaitQueue;
  /** Called with an error of this host that leaves the run without an end. */
  readonly reportFault: (error: unknown) => void;
  /** Called once when the run has ended. */
  readonly finish: (end: string, run: GenerationRun) => void;
}

/** A further run of a generation that an engine has run. */
interface Rerun {
  readonly cause: RerunCause;
  readonly reason: string;
  /** Id of the engine that ran it before. */
  readonly former: string;
}

const RERUN_CAUSES = {
  notSent: "notSent",
  refused: "refused",
  failed: "failedResponse",
  broken: "lostResponse",
} as const satisfies Record<StartFailure["outcome"], RerunCause>;

/** Causes after which the former engine certainly does not run the request. */
const ENDED_CAUSES: ReadonlySet<RerunCause> = new Set(["notSent", "refused", "failedResponse"]);

/** Lost engines after which a request may be quarantined. */
const MIN_LOSSES_OF_QUARANTINE = 2;

/** Starts a generation: places it on an upstream, or queues it until one has room. */
export function runGeneration(
  context: ForwardingContext,
  options: GenerationOptions,
): GenerationRun {
  const { request } = options;
  const budget = getServiceBudget(context, request.service.name);
  const { isResumable } = request.route;
  const tokensPerEvent = request.service.engine?.tokensPerEvent ?? 1;
  const tried = new Set<string>();
  let unexecutedAttempts = 0;
  let lastFailure: StartFailure | undefined;
  let isRetryCounted = false;
  let rerun: Rerun | undefined;
  let queueEntries = 0;
  let isCounted = request.isCounted;
  const run: GenerationRun = {
    request,
    phase: "waiting",
    upstream: undefined,
    stream: undefined,
    resumingStream: undefined,
    resumingAt: undefined,
    reportFault: options.reportFault,
    inFlight: undefined,
    tried,
    formerEvents: isResumable
      ? Math.min(
        (request.head.lastEventId ?? -1) + 1,
        Math.ceil(request.head.maxOutputTokens / tokensPerEvent),
      )
      : 0,
    executedAttempts: 0,
    lossRecorded: undefined,
    lastEventId: isResumable ? request.head.lastEventId : undefined,
    sentEvents: 0,
    lastSentAtMs: undefined,
    firstEventMs: 0,
    longestGapMs: 0,
    lastEventAtMs: context.clock.readMonotonicMs(),
    silenceCheckAtMs: 0,
    hasLateTarget: false,
    isMigrating: false,
    restore: (reason, cause = "brokenStream") => {
      if (run.phase === "ended") {
        return; // sending buffered events may have ended it because its caller is slow
      }
      run.executedAttempts++;
      lastFailure = undefined;
      restoreGeneration(context, run, reason, cause);
    },
    decideRecovery: (failure) =>
      decideStreamRecovery({
        ...failure,
        isResumable,
        hasSentEvent: request.reply.hasStarted(),
        executedAttempts: run.executedAttempts,
        unexecutedAttempts,
        maxAttempts: request.route.maxAttempts,
        hasBudget: budget.hasRoom(),
        isQuarantined: isHeldBack(context, request),
        isSuspected: context.promptParts.isSuspected(request.partKeys),
        leftMs: request.deadlineAtMs - context.clock.readMonotonicMs(),
      }),
    runAgain: (reason, cause) => {
      const failure = { outcome: "broken", hasCopy: false } as const;
      if (run.phase === "ended" || run.decideRecovery(failure) !== "runAgain") {
        return false;
      }
      startAgain(reason, cause);
      return true;
    },
    leaveDraining: () => {
      if (run.phase !== "running" || !isResumable) {
        return false;
      }
      run.executedAttempts++;
      const isAllowed = run.decideRecovery({ outcome: "broken", hasCopy: false }) === "runAgain" &&
        chooseGenerationUpstream(context, { ...describeChoice(), among: "unlimited" }) !==
          undefined;
      if (!isAllowed) {
        run.executedAttempts--; // it stays on its engine until that ends
        return false;
      }
      context.logger.writeEvent("drainingEngineLeft", {
        request: request.requestId,
        upstream: run.upstream?.record.id ?? "none",
        events: run.sentEvents,
      });
      startAgain("the engine drains and no other one has taken over its memory", "draining");
      return true;
    },
    finish: (end) => {
      if (run.phase === "ended") {
        return;
      }
      run.phase = "ended";
      limitedStart.cancel();
      run.stream?.exchange?.abort();
      run.resumingStream?.exchange?.abort();
      recordRerunEnd(end);
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
    run.executedAttempts += Number(!isUnexecuted);
    tried.add(upstream.record.id);
    lastFailure = failure;
    const recovery = run.decideRecovery({ ...failure, hasCopy: false });
    if (recovery === "runAgain" && run.executedAttempts > 0) {
      startAgain(failure.reason, RERUN_CAUSES[failure.outcome]);
      return;
    }
    if (recovery === "runAgain") {
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
    if (recovery === "relay") {
      relayFailure(failure);
      return;
    }
    if (recovery === "notRun") {
      const retryAfterMs = computeServiceRetryAfter(context, request.service.name);
      request.reply.refuse("noUpstreamLeft", failure.reason, retryAfterMs);
      run.finish("notRun");
      return;
    }
    endInterrupted(context, run, failure.reason);
  };
  const relayFailure = ({ status, statusText, rawHeaders, body, outcome }: StartFailure) => {
    request.reply.sendResponse(status, statusText, rawHeaders, body);
    run.finish(outcome);
  };

  /** Stops the former run, then places the generation on another engine after its last event. */
  const startAgain = (reason: string, cause: RerunCause) => {
    queueEntries++; // an entry of the wait before the former run would expire too early
    const upstreamId = run.upstream?.record.id ?? "none";
    tried.add(upstreamId);
    if (run.stream !== undefined) {
      run.stream.isDetached = true;
      run.stream.exchange?.abort(true);
    }
    context.loads.inFlightRequests.delete(request.requestId);
    context.reportLoadChange();
    // Counted before it is sent, so that the streams of one lost engine do not all pass the budget.
    budget.countRetry();
    isRetryCounted = true;
    recordRerunEnd("runAgain");
    rerun = { cause, reason, former: upstreamId };
    run.phase = "switching";
    prepareRerun(cause).then((obstacle) => {
      if (run.phase !== "switching") {
        return;
      }
      if (obstacle === undefined) {
        startOrQueue();
      } else {
        endInterrupted(context, run, `${reason}; ${obstacle}`);
      }
    }).catch(options.reportFault);
  };
  /**
   * Waits for what has to be known of the former run before there may be another one; resolves to
   * the reason if there may be none.
   */
  const prepareRerun = async (cause: RerunCause): Promise<string | undefined> => {
    const { lossRecorded, executedAttempts, upstream } = run;
    if (upstream !== undefined && run.stream !== undefined && !ENDED_CAUSES.has(cause)) {
      const nowMs = context.clock.readMonotonicMs();
      const former = await stopFormerEngine(context, run, {
        left: upstream,
        stream: run.stream,
        target: listLeft(nowMs)[0] ?? upstream,
        mayStartLate: cause === "lostResponse",
        // The connection of a draining engine is sound, so that its close stops the former run.
        untoldWaitMs: cause === "draining" ? 0 : computeWaitEnd() - nowMs,
      });
      dropKeptCache(context, run, former.type === "stopped" ? former.cache : undefined);
      if (former.type === "untold" && cause !== "draining") {
        return `its engine may run on and cannot be told to stop: ${former.reason}`;
      }
    }
    // The quarantine may hold the request back now; each further run could cost an engine.
    if (executedAttempts >= MIN_LOSSES_OF_QUARANTINE) {
      await lossRecorded;
    }
    return undefined;
  };
  const recordRerunEnd = (end: string) => {
    if (rerun !== undefined) {
      context.metrics.increment("forwarding.reruns", 1, { cause: rerun.cause, end });
      rerun = undefined;
    }
  };

  const startAttempt = ({ upstream, load }: UpstreamCandidate) => {
    const nowMs = context.clock.readMonotonicMs();
    const { promptTokens, maxOutputTokens, expectedTokens } = request.head;
    const producedTokens = (run.formerEvents + run.sentEvents) * tokensPerEvent;
    const size = { promptTokens, maxOutputTokens, expectedTokens, producedTokens };
    const backupTarget = chooseBackupTarget(context, request, upstream, size);
    const inFlight: InFlightRequest = {
      requestId: request.requestId,
      upstreamId: upstream.record.id,
      copyUpstreamId: backupTarget?.record.id,
      moveUpstreamId: undefined,
      ...size,
      isPrefilling: true,
      placedAtMs: nowMs,
      aheadTokens: load.prefillingTokens,
    };
    context.loads.inFlightRequests.set(request.requestId, inFlight);
    context.reportLoadIncrease();
    if (unexecutedAttempts > 0 && !isRetryCounted) {
      budget.countRetry();
    }
    isRetryCounted = false;
    run.phase = "running";
    run.hasLateTarget = false;
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
    if (rerun !== undefined) {
      context.logger.writeEvent("generationRunAgain", {
        request: request.requestId,
        upstream: upstream.record.id,
        former: rerun.former,
        afterEvent: run.lastEventId ?? -1,
        engines: run.executedAttempts,
        cause: rerun.cause,
        reason: rerun.reason,
      });
    }
    const stream = createGenerationStream();
    run.stream = stream;
    stream.exchange = openGenerationExchange(
      context,
      { request, upstream, backupTarget, lastEventId: run.lastEventId },
      relayEvents(context, run, stream, (failure) => handleStartFailure(upstream, failure)),
    );
  };

  const tryPlace = () => {
    if (run.phase !== "waiting") {
      return true;
    }
    if (isHeldBack(context, request)) {
      refuseHeldBack();
      return true;
    }
    const chosen = chooseGenerationUpstream(context, { ...describeChoice(), among: "unlimited" });
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
      inFlight: {
        ...{ promptTokens, maxOutputTokens, expectedTokens },
        producedTokens: (run.formerEvents + run.sentEvents) * tokensPerEvent,
      },
      excluded: listExcluded(context.clock.readMonotonicMs()),
    } as const;
  };

  const limitedStart = createLimitedStart({ context, run, describeChoice, startAttempt });

  /** Refuses the request as not executed; ends it as interrupted if an engine may have run it. */
  const refuse = (end: string, code: RefusalCode, detail: string, retryAfterMs: number) => {
    if (run.executedAttempts === 0) {
      request.reply.refuse(code, detail, retryAfterMs);
      run.finish(end);
    } else if (lastFailure?.outcome === "failed" && !request.reply.hasStarted()) {
      relayFailure(lastFailure);
    } else {
      endInterrupted(context, run, detail);
    }
  };
  const refuseHeldBack = () => {
    const { quarantineMs } = QUARANTINE_DEFAULTS;
    refuse("heldBack", "requestHeldBack", REFUSAL_DETAILS.requestHeldBack, quarantineMs);
  };
  const refuseQueued = (detail: string) => {
    if (run.phase !== "waiting") {
      return; // a permit has come in the meantime
    }
    refuse("refused", "noRoomInTime", detail, computeRetryAfter(context.random));
  };

  /** Lists the engines tried; after a run, those that are reachable are the last resort. */
  const listExcluded = (nowMs: number): ReadonlySet<string> => {
    const isAnyLeft = listUsableUpstreams(context.upstreams, request.service.name, nowMs)
      .some(({ record }) => !tried.has(record.id));
    return run.executedAttempts === 0 || isAnyLeft
      ? tried
      : new Set([...tried].filter((id) => !isUpstreamReachable(context.upstreams, id, nowMs)));
  };
  const listLeft = (nowMs: number) => {
    const excluded = listExcluded(nowMs);
    return listUsableUpstreams(context.upstreams, request.service.name, nowMs)
      .filter(({ record }) => !excluded.has(record.id));
  };
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
    if (!tryPlace()) {
      enqueue(nowMs);
    }
  };
  /** Waits for a permit; is refused at once if none comes in time. */
  const startLimitedOrQueue = async (nowMs: number) => {
    const waitMs = Math.max(0, computeWaitEnd() - nowMs);
    const retryAfterMs = await limitedStart.start(waitMs);
    if (run.phase !== "waiting") {
      return;
    }
    const endMs = context.clock.readMonotonicMs();
    if (retryAfterMs === undefined || !areAllLimited(endMs)) {
      enqueue(endMs);
      return;
    }
    if (run.executedAttempts > 0 && endMs + retryAfterMs < computeWaitEnd()) {
      enqueue(endMs); // it would be cut, not refused; the engines may be warm before its time is over
      return;
    }
    refuse("limited", "limitReached", REFUSAL_DETAILS.limitReached, retryAfterMs);
  };
  const computeWaitEnd = () =>
    run.executedAttempts > 0
      ? computeRerunWaitEnd({ ...request, lastSentAtMs: run.lastSentAtMs })
      : request.arrivedAtMs + computeMaxWait(request);

  const enqueue = (nowMs: number) => {
    const { targetMs } = request.route;
    const expiresAtMs = computeWaitEnd();
    const { name } = request.service;
    const pauseMs = findShortestPause(context.upstreams, name, nowMs, tried) ?? Infinity;
    const isPauseShort = nowMs + pauseMs < expiresAtMs;
    // Another engine may join within the short wait of a generation that has run.
    if (run.executedAttempts === 0 && listLeft(nowMs).length === 0 && !isPauseShort) {
      const detail = `service ${name} has no upstream left to try`;
      request.reply.refuse("noUpstreamLeft", detail, computeServiceRetryAfter(context, name));
      run.finish("noUpstreamLeft");
      return;
    }
    // An entry of an earlier wait may still be in the queue.
    const entry = ++queueEntries;
    const hasStarted = request.reply.hasStarted();
    const isAdded = options.waitQueue.add({
      priority: hasStarted ? FORWARDING_LIMITS.resumePriority : request.priority,
      arrivedAtMs: request.arrivedAtMs,
      targetDeadlineAtMs: hasStarted ? expiresAtMs : request.arrivedAtMs + targetMs,
      expiresAtMs,
      tryPlace: () => entry !== queueEntries || tryPlace(),
      expire: () => {
        if (entry === queueEntries) {
          refuseQueued("no engine had room within the maximum wait");
        }
      },
    });
    if (!isAdded) {
      refuseQueued("the wait queue of this host is full");
    }
  };

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
