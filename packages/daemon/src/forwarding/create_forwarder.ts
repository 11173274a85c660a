import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Timer } from "@crocussail/protocol";
import { estimateRemainingTokens } from "../balancing/mod.ts";
import { QUARANTINE_DEFAULTS } from "../quarantine/mod.ts";
import { chooseService } from "../routes/mod.ts";
import type { RequestKind, RouteSettings } from "../routes/mod.ts";
import type { ReleaseMeter } from "../common/create_release_meter.ts";
import { findHeader } from "../common/find_header.ts";
import { createByteBudget } from "../common/create_byte_budget.ts";
import type { AcceptedHandover } from "../handover/mod.ts";
import type { Upstream } from "../upstreams/mod.ts";
import type { CallerReply } from "./caller_reply.ts";
import { checkRequest } from "./check_request.ts";
import { computeHeaderMemory } from "./compute_header_memory.ts";
import { computeRetryAfter } from "./compute_retry_after.ts";
import { computeServiceRetryAfter } from "./compute_service_retry_after.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import { createCallerReply } from "./create_caller_reply.ts";
import { createEvacuationMover } from "./create_evacuation_mover.ts";
import { createTimerDelays } from "./create_timer_delays.ts";
import { createWaitQueue } from "./create_wait_queue.ts";
import { dropBody } from "./drop_body.ts";
import { findBodyFraming } from "./find_body_framing.ts";
import { digestForwardedRequest } from "./digest_forwarded_request.ts";
import type { ForwardedRequest } from "./forwarded_request.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun } from "./generation_run.ts";
import { readBody } from "./read_body.ts";
import { getServiceBudget } from "./get_service_budget.ts";
import { isHeldBack } from "./is_held_back.ts";
import { isServiceEvacuated } from "./is_service_evacuated.ts";
import { listPartKeys } from "./list_part_keys.ts";
import { migrateGeneration } from "./migrate_generation.ts";
import { REFUSAL_DETAILS } from "./refusal_details.ts";
import type { RefusalCode } from "./refusal_details.ts";
import { runGeneration } from "./run_generation.ts";
import { runPlainRequest } from "./run_plain_request.ts";

/** Options of {@link createForwarder}. */
export interface ForwarderOptions {
  readonly context: Omit<ForwardingContext, "timerDelays" | "answerBudget">;
  readonly readSettings: () => RouteSettings | undefined;
  /** Bytes of the callers' bodies and headers that this host keeps; it refuses requests beyond. */
  readonly bodyBytes: number;
  /** Bytes of the responses that this host buffers until they are complete. */
  readonly answerBytes: number;
  readonly releases: ReleaseMeter;
  readonly isLeaving: () => boolean;
  /** Called after a part of a response was written to a connection. */
  readonly recordWritten: (socket: Socket, bytes: number) => void;
  /** Whether callers had the time to learn that this host drains. */
  readonly isLateInDrain: () => boolean;
  /** Computes the milliseconds until open requests are cut; infinite unless this host leaves. */
  readonly computeDrainLeft: () => number;
}

/** Forwards callers' requests by the published routes. */
export interface Forwarder {
  /** Handles a request of a caller, or one that another host has received and handed over. */
  handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
    handover?: AcceptedHandover,
  ): Promise<void>;
  /** Migrates the generations that run on a draining upstream. */
  migrateFrom(upstream: Upstream): void;
  countRunning(): number;
  /** Counts the requests, arriving ones included, whose response has not been sent completely. */
  countOpen(): number;
  /** Ends all open requests at the end of a drain; those without a response get one. */
  endOpen(): void;
  start(): void;
  stop(): void;
}

/** A request whose response has not been sent completely. */
interface OpenRequest {
  readonly reply: CallerReply;
  /** Its body has been read, so an upstream may execute it. */
  isForwarded: boolean;
}

/** Shortest interval between checks, as a share of the mean one. */
const MIN_TICK_SHARE = 0.5;

const DRAIN_DETAIL = "this host shuts down before the request's time is over";

const BODY_REFUSALS = {
  tooLarge: "bodyTooLarge",
  badFraming: "bodyTooLarge",
  tooSlow: "bodyTooSlow",
} as const satisfies Record<string, RefusalCode>;

/** Creates the forwarder. Its state has one entry for each request without a final response. */
export function createForwarder(options: ForwarderOptions): Forwarder {
  const { clock, logger, metrics } = options.context;
  const context: ForwardingContext = {
    ...options.context,
    timerDelays: createTimerDelays(clock),
    answerBudget: createByteBudget(options.answerBytes, options.releases),
  };
  const waitQueue = createWaitQueue();
  const runs = new Set<GenerationRun>();
  const open = new Set<OpenRequest>();
  let running = 0;
  const bodyBudget = createByteBudget(options.bodyBytes, options.releases);
  let timer: Timer | undefined;
  let tickDueAtMs = Number.POSITIVE_INFINITY;
  let isIdle = false;

  const migrateNext = (upstreamId: string) => {
    const affected = [...runs].filter((run) => run.upstream?.record.id === upstreamId);
    const migrating = affected.filter((run) => run.isMigrating).length;
    const estimateRemaining = (run: GenerationRun) =>
      run.inFlight === undefined ? 0 : estimateRemainingTokens(run.inFlight);
    const waiting = affected
      .filter((run) =>
        run.phase === "running" && !run.isMigrating && !run.hasLateTarget &&
        run.inFlight?.isPrefilling === false
      )
      .sort((left, right) => estimateRemaining(right) - estimateRemaining(left));
    const free = Math.max(0, FORWARDING_LIMITS.maxMigrationsPerUpstream - migrating);
    for (const run of waiting.slice(0, free)) {
      migrateGeneration(context, run, "draining").catch((error) => reportFault(run.request, error));
    }
  };
  /** Runs generations again that have not found a way to migrate, before their engine ends. */
  const rerunFrom = (upstreamId: string, nowMs: number) => {
    const upstream = context.upstreams.upstreams.get(upstreamId);
    if (upstream === undefined || upstream.isAbsent) {
      return;
    }
    const drainedMs = nowMs - upstream.sinceMs;
    let left: number = FORWARDING_LIMITS.maxMigrationsPerUpstream;
    for (const run of [...runs].filter((each) => each.upstream?.record.id === upstreamId)) {
      const isCopying = run.isMigrating && run.inFlight?.moveUpstreamId !== undefined;
      const isLate = drainedMs >=
        (isCopying ? FORWARDING_LIMITS.drainCopyRerunMs : FORWARDING_LIMITS.drainRerunMs);
      left -= Number(isLate && left > 0 && run.leaveDraining());
    }
  };
  const logFault = ({ requestId }: Pick<ForwardedRequest, "requestId">, error: unknown) => {
    const reason = error instanceof Error ? error.stack ?? error.message : String(error);
    metrics.increment("forwarding.faults");
    logger.writeEvent("requestFailed", { request: requestId, reason });
  };
  const reportFault = (request: Pick<ForwardedRequest, "requestId" | "reply">, error: unknown) => {
    logFault(request, error);
    if (request.reply.hasStarted()) {
      request.reply.abort();
      return;
    }
    try {
      request.reply.refuse(
        "internalFault",
        "internal error on this host while handling the request",
      );
    } catch (refusalError) {
      logFault(request, refusalError);
      request.reply.abort();
    }
  };

  const evacuationMover = createEvacuationMover({
    context,
    listRuns: () => runs,
    migrate: (run) => {
      migrateGeneration(context, run, "evacuating")
        .catch((error) => reportFault(run.request, error));
    },
  });

  /** Whether a request that starts now could be cut by the end of this host. */
  const couldBeCut = (kind: RequestKind, leftMs: number) =>
    options.isLateInDrain() &&
    (kind === "stream" || leftMs + FORWARDING_LIMITS.drainReserveMs > options.computeDrainLeft());
  const refuseInDrain = (reply: CallerReply) =>
    reply.refuse("noRoomInTime", DRAIN_DETAIL, computeRetryAfter(context.random));

  const checkRun = (run: GenerationRun, nowMs: number) => {
    const { request } = run;
    const isUnexecuted = run.phase === "waiting" && run.executedAttempts === 0;
    if (nowMs >= request.deadlineAtMs) {
      if (request.reply.hasStarted()) {
        request.reply.abort();
      } else if (isUnexecuted) {
        request.reply.refuse(
          "noRoomInTime",
          "deadline exceeded",
          computeRetryAfter(context.random),
        );
      } else {
        request.reply.refuse("timeout", "deadline exceeded");
      }
      run.finish("timeout");
      return;
    }
    if (isUnexecuted && isServiceEvacuated(context.upstreams, request.service.name)) {
      const { name } = request.service;
      const detail = `all upstreams of service ${name} lie in evacuated data centres`;
      request.reply.refuse("noUpstreamLeft", detail, computeServiceRetryAfter(context, name));
      run.finish("noUpstreamLeft");
      return;
    }
    if (run.phase === "running" && run.sentEvents === 0 && isHeldBack(context, request)) {
      // Its engine may still be reading the prompt; ending the request then avoids another crash.
      request.reply.refuse("outcomeUnknown", REFUSAL_DETAILS.requestHeldBack);
      run.finish("unknown");
      return;
    }
    if (isUnexecuted && options.isLateInDrain()) {
      refuseInDrain(request.reply);
      run.finish("refused");
      return;
    }
    const isSilent = nowMs - run.lastEventAtMs > FORWARDING_LIMITS.eventTimeoutMs &&
      nowMs >= run.silenceCheckAtMs;
    const hasBackup = run.inFlight?.copyUpstreamId !== undefined;
    if (
      run.phase === "running" && isSilent && hasBackup && !run.isMigrating &&
      run.sentEvents > 0 && getServiceBudget(context, request.service.name).hasRoom()
    ) {
      // Its engine may only be slow, so its stream stays open until another engine resumes it.
      run.silenceCheckAtMs = nowMs + FORWARDING_LIMITS.silenceRetryMs;
      migrateGeneration(context, run, "silent").catch((error) => reportFault(request, error));
    }
  };
  const checkRuns = () => {
    const nowMs = clock.readMonotonicMs();
    for (const run of [...runs]) {
      try {
        checkRun(run, nowMs);
      } catch (error) {
        reportFault(run.request, error);
        run.finish("fault");
      }
    }
    const leaving = new Set<string>();
    for (const run of runs) {
      const id = run.upstream?.record.id ?? "";
      if (context.upstreams.upstreams.get(id)?.status === "leaving") {
        leaving.add(id);
      }
    }
    leaving.forEach((upstreamId) => {
      migrateNext(upstreamId);
      rerunFrom(upstreamId, nowMs);
    });
    evacuationMover.tick(nowMs);
    waitQueue.expireAndPlaceNext(nowMs);
    metrics.gauge("forwarding.running", running);
    metrics.gauge("forwarding.waiting", waitQueue.count());
  };
  const tick = () => {
    context.timerDelays.recordTimer(tickDueAtMs);
    try {
      checkRuns();
    } finally {
      // The jitter keeps hosts that wait for the same capacity from all checking at the same time.
      const delayMs = FORWARDING_LIMITS.tickMs * (MIN_TICK_SHARE + context.random.nextFloat());
      isIdle = runs.size === 0;
      startTick(isIdle ? FORWARDING_LIMITS.idleTickMs : delayMs);
    }
  };
  const startTick = (delayMs: number) => {
    tickDueAtMs = clock.readMonotonicMs() + delayMs;
    timer = clock.startTimer(delayMs, tick);
  };
  /** Returns to the short interval, for the first generation after an idle time. */
  const endIdleTime = () => {
    if (isIdle) {
      isIdle = false;
      timer?.cancel();
      startTick(FORWARDING_LIMITS.tickMs);
    }
  };

  const recordEnd = (
    request: ForwardedRequest,
    end: string,
    stream: Readonly<Record<string, number>> = {},
  ) => {
    running--;
    const tookMs = clock.readMonotonicMs() - request.arrivedAtMs;
    const { kind } = request.route;
    metrics.increment("forwarding.answers", 1, { kind, end });
    metrics.distribution("forwarding.duration", tookMs, { kind });
    logger.writeEvent("requestServed", {
      request: request.requestId,
      route: request.route.name,
      kind,
      targetMs: request.route.targetMs,
      end,
      tookMs: Math.round(tookMs),
      ...stream,
    });
  };

  const forward = async (request: ForwardedRequest) => {
    running++;
    if (request.route.kind === "stream") {
      const run = runGeneration(context, {
        request,
        waitQueue,
        reportFault: (error) => reportFault(request, error),
        finish: (end, ended) => {
          runs.delete(ended);
          recordEnd(request, end, {
            events: ended.sentEvents,
            firstEventMs: Math.round(ended.firstEventMs),
            longestGapMs: Math.round(ended.longestGapMs),
          });
        },
      });
      if (run.phase !== "ended") {
        runs.add(run);
        endIdleTime();
      }
      return;
    }
    let end = "fault";
    try {
      end = await runPlainRequest(context, request);
    } finally {
      recordEnd(request, end);
    }
  };

  const refuse = (reply: CallerReply, code: RefusalCode) => {
    const detail = REFUSAL_DETAILS[code];
    const isRetryable = code === "settingsUnknown" || code === "noUpstreamLeft" ||
      code === "noRoomInTime";
    const retryAfterMs = code === "requestHeldBack"
      ? QUARANTINE_DEFAULTS.quarantineMs
      : isRetryable
      ? computeRetryAfter(context.random)
      : undefined;
    reply.refuse(code, detail, retryAfterMs);
  };

  const refuseWithoutBuffer = (reply: CallerReply) => {
    metrics.increment("forwarding.overloaded");
    refuse(reply, "noRoomInTime");
  };

  const handleRequest: Forwarder["handleRequest"] = async (incoming, response, handover) => {
    const arrivedAtMs = clock.readMonotonicMs() - (handover?.ageMs ?? 0);
    const settings = options.readSettings();
    const rawHeaders = handover?.rawHeaders ?? incoming.rawHeaders;
    const head = context.dialect.decodeRequest(rawHeaders);
    const framing = findBodyFraming(rawHeaders);
    const hostName = findHeader(rawHeaders, "host");
    if (handover !== undefined) {
      logger.writeEvent("handoverAccepted", {
        request: head.requestId ?? "none",
        from: handover.fromHost,
        ageMs: handover.ageMs,
      });
    }
    const reply = createCallerReply({
      response,
      dialect: context.dialect,
      isLeaving: options.isLeaving,
      recordWritten: (bytes) => options.recordWritten(incoming.socket, bytes),
      recordRefusal: (code, detail, retryAfterMs) =>
        logger.writeEvent("ownAnswerSent", {
          request: head.requestId ?? "none",
          code,
          detail,
          retryAfterMs,
          version: settings?.version ?? -1,
        }),
      ...(handover === undefined ? {} : { listOwnHeaders: handover.listResponseHeaders }),
    });
    const entry: OpenRequest = { reply, isForwarded: false };
    open.add(entry);
    const account = bodyBudget.open();
    response.once("close", () => {
      open.delete(entry);
      account.close();
    });
    if (settings === undefined) {
      dropBody(incoming);
      refuse(reply, "settingsUnknown");
      return;
    }
    const target = incoming.url ?? "/";
    const validated = checkRequest(settings, {
      ...head,
      target,
      hostName,
      // The host that received the request has checked the size of its headers.
      headerBytes: handover === undefined ? countHeaderBytes(rawHeaders) : 0,
    });
    if (typeof validated === "string") {
      dropBody(incoming);
      refuse(reply, validated);
      return;
    }
    const { route, team, requestId } = validated;
    const timeoutMs = Math.min(head.deadlineMs ?? route.timeoutMs, route.timeoutMs);
    if (couldBeCut(route.kind, timeoutMs)) {
      dropBody(incoming);
      refuseInDrain(reply);
      return;
    }
    if (!account.add(computeHeaderMemory(rawHeaders))) {
      response.shouldKeepAlive = false;
      refuseWithoutBuffer(reply);
      return;
    }
    const body = await readBody(incoming, {
      clock,
      framing,
      timeoutMs,
      maxBytes: settings.limits.maxBodyBytes,
      account,
    });
    if (body.type === "callerLeft" || reply.hasEnded()) {
      return;
    }
    if (body.type !== "complete") {
      // The rest of a slow body may never come, and there is no room for that of another one.
      response.shouldKeepAlive &&= body.type === "tooLarge";
      if (body.type === "overloaded") {
        refuseWithoutBuffer(reply);
      } else {
        refuse(reply, BODY_REFUSALS[body.type]);
      }
      return;
    }
    if (couldBeCut(route.kind, arrivedAtMs + timeoutMs - clock.readMonotonicMs())) {
      refuseInDrain(reply); // the drain has begun, or gone on, while the body arrived
      return;
    }
    const service = settings.services.get(chooseService(route, context.random) ?? "");
    if (service === undefined) {
      refuse(reply, "noUpstreamLeft");
      return;
    }
    const identity = {
      method: incoming.method ?? "GET",
      target,
      body: body.bytes,
      team: team?.name,
    };
    const fingerprint = digestForwardedRequest(identity);
    const partKeys = listPartKeys(service.name, head.promptParts);
    if (isHeldBack(context, { fingerprint, partKeys })) {
      refuse(reply, "requestHeldBack");
      return;
    }
    if (handover !== undefined && context.reachability.isUnreachable(service.name)) {
      refuse(reply, "noUpstreamLeft");
      return;
    }
    const request: ForwardedRequest = {
      ...identity,
      requestId,
      rawHeaders,
      head,
      fingerprint,
      partKeys,
      route,
      service,
      priority: team?.priority ?? route.priority,
      arrivedAtMs,
      deadlineAtMs: arrivedAtMs + timeoutMs,
      handedOverBy: handover?.fromHost,
      isCounted: handover?.isCounted ?? false,
      reply,
    };
    if (route.isResumable && head.lastEventId !== undefined) {
      logger.writeEvent("streamResumedByCaller", {
        request: requestId,
        afterEvent: head.lastEventId,
      });
    }
    entry.isForwarded = true;
    try {
      await forward(request);
    } catch (error) {
      reportFault(request, error);
    }
  };

  return {
    handleRequest,
    migrateFrom: (upstream) => migrateNext(upstream.record.id),
    countRunning: () => running,
    countOpen: () => open.size,
    endOpen: () => {
      for (const { reply, isForwarded } of open) {
        if (reply.hasStarted()) {
          continue; // it is cut, which its caller notices
        }
        isForwarded ? reply.refuse("outcomeUnknown", DRAIN_DETAIL) : refuseInDrain(reply);
      }
      runs.forEach((run) => run.finish("hostStopped"));
    },
    start: () => tick(),
    stop: () => timer?.cancel(),
  };
}

function countHeaderBytes(rawHeaders: readonly string[]): number {
  return rawHeaders.reduce((sum, part) => sum + part.length + 2, 0);
}
