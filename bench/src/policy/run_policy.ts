import {
  ADMISSION_LIMITS,
  computeOwnerWaits,
  createLatencyTable,
  createLeavingList,
  createLengthPredictor,
  createPrefixIndex,
  decideOwner,
  rankCandidates,
} from "@crocussail/daemon/policy";
import type { Candidate, OwnerEffect, OwnerEvent, QueueEntry } from "@crocussail/daemon/policy";
import type { BenchEvent } from "./bench_event.ts";
import type { BenchUpstream } from "./in_flight_request.ts";
import { createBenchUpstreams } from "./create_bench_upstreams.ts";
import { createEventQueue } from "./create_event_queue.ts";
import { createRunMeasures } from "./create_run_measures.ts";
import type { RequestEnd } from "./create_run_measures.ts";
import { createTokenSink } from "./create_token_sink.ts";
import { ENGINE_SHAPE } from "./engine_shape.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import { sampleTraffic } from "./sample_traffic.ts";
import type { RunOptions, RunResult } from "./run_options.ts";
import type { TrafficRequest } from "./traffic_request.ts";

const POLL_MS = 1_000;
const RECLAIM_NOTICE_MS = 60_000;
const LEAVING_LIST_DELAY_MS = 30_000;
const LEAVING_GRACE_MS = 5_000;
const MAX_ATTEMPTS = 3;
/** Retry budget: a tenth of the first attempts, with a burst. */
const RETRY_RATIO = 0.1;
const RETRY_BURST = 20;
/** One in this many cache events is lost. */
const CACHE_EVENT_LOSS = 20;
const MAX_DRAIN_MS = 3_600_000;

/** Simulates one run: traffic, engine models and the daemon's decisions on a simulated clock. */
export function runPolicy(options: RunOptions): RunResult {
  const measures = createRunMeasures();
  const latencies = createLatencyTable();
  const prefixes = createPrefixIndex();
  const leaving = createLeavingList();
  const lengths = createLengthPredictor();
  const events = createEventQueue<BenchEvent>();
  const inFlightRequests = new Map<string, InFlightRequest>();
  let nowMs = 0;
  let sentToLeaving = 0;
  let retries = 0;
  let retryBudget = RETRY_BURST;

  const upstreams: BenchUpstream[] = createBenchUpstreams(options, (name) =>
    createTokenSink({
      upstream: name,
      measures,
      latencies,
      findInFlight: (id) => {
        const inFlight = inFlightRequests.get(id);
        return inFlight?.grantedUpstream?.name === name ? inFlight : undefined;
      },
      finishRequest: (id, atMs) => {
        const upstream = upstreams.find((each) => each.name === name) as BenchUpstream;
        events.pushEvent(atMs, { type: "finished", upstream, id });
      },
    }));

  const scheduleWake = (upstream: BenchUpstream) => {
    upstream.wakeEventVersion += 1;
    const atMs = upstream.model.readPlannedEndMs();
    if (atMs !== undefined) {
      events.pushEvent(atMs, { type: "wake", upstream, version: upstream.wakeEventVersion });
    }
  };

  const endRequest = (inFlight: InFlightRequest, end: RequestEnd) => {
    inFlight.state = "ended";
    inFlight.grantedUpstream?.granted.delete(inFlight.request.id);
    inFlightRequests.delete(inFlight.request.id);
    measures.recordEnd(inFlight.request, end, nowMs);
  };

  const sendToOwner = (upstream: BenchUpstream, event: OwnerEvent) => {
    for (const effect of decideOwner(upstream.owner, event, nowMs)) {
      applyEffect(upstream, effect);
    }
  };

  const applyEffect = (upstream: BenchUpstream, effect: OwnerEffect) => {
    const inFlight = inFlightRequests.get(effect.id);
    if (effect.type === "place") {
      upstream.waits = computeOwnerWaits(upstream.owner);
      upstream.waitsUpdatedMs = nowMs;
      inFlight?.places.add(upstream);
      return;
    }
    inFlight?.places.delete(upstream);
    if (effect.type === "refuse") {
      handleRefusal(inFlight, effect.reason);
      return;
    }
    if (inFlight === undefined || inFlight.state === "granted") {
      sendToOwner(upstream, { type: "release", id: effect.id });
      return;
    }
    startRequest(upstream, inFlight);
  };

  const handleRefusal = (inFlight: InFlightRequest | undefined, reason: string) => {
    if (inFlight?.state !== "waiting" || inFlight.places.size > 0) {
      return;
    }
    if (reason === "leaving") {
      placeRequest(inFlight);
      return;
    }
    endRequest(inFlight, "refused");
  };

  const startRequest = (upstream: BenchUpstream, inFlight: InFlightRequest) => {
    const { request } = inFlight;
    inFlight.state = "granted";
    inFlight.grantedUpstream = upstream;
    inFlight.grantedAtMs = nowMs;
    for (const place of inFlight.places) {
      decideOwner(place.owner, { type: "withdraw", id: request.id }, nowMs);
    }
    inFlight.places.clear();
    upstream.model.advanceTo(nowMs);
    upstream.choices += 1;
    sentToLeaving += nowMs > upstream.leavingAtMs + LEAVING_GRACE_MS ? 1 : 0;
    const isAccepted = upstream.model.submitJob(
      { ...request, priority: request.kind.urgency },
      nowMs,
    );
    if (!isAccepted) {
      markLeaving(upstream);
      retryRequest(upstream, inFlight);
      return;
    }
    upstream.granted.set(request.id, inFlight);
    prefixes.recordPlacement(request.prefix.key, upstream.name, nowMs);
    scheduleWake(upstream);
  };

  const markLeaving = (upstream: BenchUpstream) => {
    if (leaving.markLeaving(upstream.name, nowMs)) {
      sendToOwner(upstream, { type: "leave" });
    }
  };

  /** Places a request again if it has no token yet and the retry budget allows it. */
  const retryRequest = (upstream: BenchUpstream, inFlight: InFlightRequest) => {
    upstream.granted.delete(inFlight.request.id);
    sendToOwner(upstream, { type: "release", id: inFlight.request.id });
    inFlight.excluded.add(upstream.name);
    inFlight.grantedUpstream = undefined;
    inFlight.attempts += 1;
    const mayRetry = inFlight.produced === 0 && inFlight.attempts <= MAX_ATTEMPTS &&
      retryBudget >= 1;
    if (!mayRetry) {
      endRequest(inFlight, "lost");
      return;
    }
    retries += 1;
    retryBudget -= 1;
    placeRequest(inFlight);
  };

  const createCandidate = (upstream: BenchUpstream, request: TrafficRequest): Candidate => ({
    upstream: upstream.name,
    inFlight: upstream.granted.size,
    waitMs: request.kind.urgency <= ADMISSION_LIMITS.urgentClass
      ? upstream.waits.urgentMs
      : upstream.waits.otherMs,
    firstTokenMs: latencies.estimateFirstTokenMs(upstream.name, request.kind.name),
    gapMs: latencies.estimateGapMs(upstream.name, request.kind.name),
    hitProbability: prefixes.estimateHitProbability(request.prefix.key, upstream.name, nowMs),
    ageMs: nowMs - upstream.waitsUpdatedMs,
    remainingTokens: lengths.predictRemaining({ ...createKey(request), produced: 0 }),
    choices: upstream.choices,
  });

  const placeRequest = (inFlight: InFlightRequest) => {
    const { request } = inFlight;
    const entry = createEntry(request);
    const candidates = upstreams
      .filter((each) =>
        each.group === request.group && !inFlight.excluded.has(each.name) &&
        !leaving.isLeaving(each.name, nowMs)
      )
      .map((each) => createCandidate(each, request));
    const ranked = rankCandidates(candidates, options.policy.score);
    inFlight.state = "placing";
    for (const { upstream: name } of ranked.slice(0, ADMISSION_LIMITS.maxPlaces)) {
      const upstream = upstreams.find((each) => each.name === name) as BenchUpstream;
      sendToOwner(upstream, { type: "ask", entry });
      if (inFlight.state !== "placing") {
        return;
      }
    }
    inFlight.state = "waiting";
    if (inFlight.places.size === 0) {
      endRequest(inFlight, "refused");
    }
  };

  const handleArrival = (request: TrafficRequest) => {
    measures.recordArrival(request);
    retryBudget = Math.min(RETRY_BURST, retryBudget + RETRY_RATIO);
    const inFlight: InFlightRequest = {
      request,
      excluded: new Set(),
      places: new Set(),
      state: "placing",
      attempts: 0,
      grantedUpstream: undefined,
      grantedAtMs: 0,
      produced: 0,
      polledTokens: 0,
      reportedAtMs: 0,
      lastTokenAtMs: undefined,
      pausedAtMs: undefined,
    };
    inFlightRequests.set(request.id, inFlight);
    placeRequest(inFlight);
  };

  const handleFinished = (upstream: BenchUpstream, id: string) => {
    const inFlight = inFlightRequests.get(id);
    if (inFlight?.grantedUpstream !== upstream) {
      return;
    }
    endRequest(inFlight, "finished");
    lengths.recordLength(createKey(inFlight.request), inFlight.produced, nowMs);
    sendToOwner(upstream, { type: "release", id, produced: inFlight.produced });
  };

  const handleCrash = (upstream: BenchUpstream) => {
    upstream.model.advanceTo(nowMs);
    upstream.model.stopAtOnce();
    upstream.leavingAtMs = Math.min(upstream.leavingAtMs, nowMs);
    for (const inFlight of [...upstream.granted.values()]) {
      if (inFlight.produced < inFlight.request.outputTokens) {
        retryRequest(upstream, inFlight);
      }
    }
  };

  const recordProgress = (upstream: BenchUpstream, id: string, inFlight: InFlightRequest) => {
    const fresh = inFlight.produced - inFlight.polledTokens;
    if (fresh > 0 && inFlight.polledTokens > 0) {
      latencies.recordGap(upstream.name, inFlight.request.kind.name, POLL_MS / fresh);
    }
    inFlight.polledTokens = inFlight.produced;
    const lastMs = Math.max(inFlight.reportedAtMs, inFlight.grantedAtMs);
    if (nowMs - lastMs >= ADMISSION_LIMITS.renewMs) {
      inFlight.reportedAtMs = nowMs;
      decideOwner(upstream.owner, { type: "tokens", id, produced: inFlight.produced }, nowMs);
    }
  };

  const pollUpstream = (upstream: BenchUpstream) => {
    upstream.model.advanceTo(nowMs);
    for (const [id, inFlight] of upstream.granted) {
      recordProgress(upstream, id, inFlight);
    }
    const report = upstream.model.readLoad(nowMs);
    if (report.leaving) {
      markLeaving(upstream);
    }
    const cacheEvents = upstream.model.listCacheEvents(prefixes.getSequence(upstream.name));
    const receivedEvents = cacheEvents.filter((event) => event.sequence % CACHE_EVENT_LOSS !== 0);
    prefixes.applyEvents(upstream.name, receivedEvents, nowMs);
    sendToOwner(upstream, { type: "report", report });
    sendToOwner(upstream, { type: "tick" });
    upstream.waits = computeOwnerWaits(upstream.owner);
    upstream.waitsUpdatedMs = nowMs;
    scheduleWake(upstream);
  };

  const handleEvent = (event: BenchEvent) => {
    switch (event.type) {
      case "arrival":
        return handleArrival(event.request);
      case "wake":
        if (event.version === event.upstream.wakeEventVersion) {
          event.upstream.model.advanceTo(nowMs);
          scheduleWake(event.upstream);
        }
        return;
      case "finished":
        return handleFinished(event.upstream, event.id);
      case "poll":
        upstreams.forEach(pollUpstream);
        if (nowMs < options.durationMs || inFlightRequests.size > 0) {
          events.pushEvent(nowMs + POLL_MS, event);
        }
        return;
      case "leave":
        event.upstream.model.startLeaving();
        event.upstream.leavingAtMs = nowMs;
        events.pushEvent(nowMs + LEAVING_LIST_DELAY_MS, {
          type: "listed",
          upstream: event.upstream,
        });
        events.pushEvent(nowMs + RECLAIM_NOTICE_MS, { type: "crash", upstream: event.upstream });
        return;
      case "listed":
        return markLeaving(event.upstream);
      case "crash":
        return handleCrash(event.upstream);
    }
  };

  for (const request of sampleTraffic(options)) {
    events.pushEvent(request.atMs, { type: "arrival", request });
  }
  events.pushEvent(0, { type: "poll" });
  if (options.fault === "death" || options.fault === "reclaim") {
    const type = options.fault === "death" ? "crash" : "leave";
    for (const group of options.scenario.groups.keys()) {
      const upstream = upstreams.find((each) => each.group === group) as BenchUpstream;
      events.pushEvent(options.durationMs / 2, { type, upstream });
    }
  }
  for (let next = events.popEvent(); next !== undefined; next = events.popEvent()) {
    nowMs = Math.max(nowMs, next.atMs);
    if (nowMs > options.durationMs + MAX_DRAIN_MS) {
      break;
    }
    handleEvent(next.event);
  }
  [...inFlightRequests.values()].forEach((inFlight) => endRequest(inFlight, "lost"));
  return {
    scenario: options.scenario.name,
    policy: options.policy.name,
    loadPercent: options.loadPercent,
    fault: options.fault,
    declaredShare: options.declaredShare,
    seed: options.seed,
    kinds: measures.buildFigures(options.durationMs),
    fairness: measures.computeFairness(),
    sentToLeaving,
    retries,
  };
}

function createKey(request: TrafficRequest) {
  return { team: request.team, kind: request.kind.name, model: String(request.group) };
}

function createEntry(request: TrafficRequest): QueueEntry {
  return {
    ...createKey(request),
    id: request.id,
    urgency: request.kind.urgency,
    weight: 1,
    promptTokens: request.promptTokens,
    ...(request.declaredTokens === undefined ? {} : { maxTokens: request.declaredTokens }),
    arrivedMs: request.atMs,
    deadlineMs: request.atMs + request.kind.deadlineMs,
    tokenGapMs: ENGINE_SHAPE.tokenGapMs,
  };
}
