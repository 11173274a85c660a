import {
  BALANCING_LIMITS,
  chooseEngine,
  computeCostTolerance,
  computeLocalLoads,
  createLoadState,
  estimateMemoryTokens,
  estimateRemainingTokens,
  listCandidates,
  observePerformance,
} from "@crocussail/daemon/balancing";
import type { InFlightRequest, LoadState } from "@crocussail/daemon/balancing";
import { computeFreedTokens, createFleetWaiting, createRoomRate } from "@crocussail/daemon/waiting";
import type {
  FleetWaiting,
  PlacementTurn,
  RoomRate,
  WaitingReport,
  WaitQueue,
  WaitQueueEntry,
} from "@crocussail/daemon/waiting";
import { createEngineModel } from "@crocussail/stand_ins";
import type { EngineModel } from "@crocussail/stand_ins";
import { createSeededRandom } from "../fleet/create_seeded_random.ts";
import { tallyWaitingLoad } from "./tally_waiting_load.ts";
import type { WaitingLoadFigures, WaitingLoadOptions } from "./waiting_load_options.ts";
import type { WaitingLoadRequest } from "./waiting_load_request.ts";

const STEP_MS = 5;
const TICK_MS = 50;
const SPEEDS = [0.55, 1.2, 1.2, 1.2];
const LIMITS = {
  slots: 24,
  memoryTokens: 26_900,
  canMove: true,
  canBackUp: true,
  tokensPerEvent: 4,
};
/** Long generations a second and engine at which the engines' room is just used up. */
const LONG_PER_ENGINE = 0.94;
const SHORT_PER_LONG = 31 / 28;
const LONG = {
  ...{ priority: 2, targetMs: 4_006, maxWaitMs: 10_015 },
  ...{ promptTokens: 3_079, spread: 0.35, outputTokens: 744 },
};
const SHORT = {
  ...{ priority: 0, targetMs: 1_504, maxWaitMs: 1_800 },
  ...{ promptTokens: 2_550, spread: 0.6, outputTokens: 12 },
};
const MAX_PROMPT_TOKENS = 6_000;
const DATA_CENTRES = 4;
/** The first data centre's demand relative to each other one. */
const FIRST_DATA_CENTRE_WEIGHT = 3;
const LARGE_ACCOUNT_SHARE = 10 / 11;
/** Load before and after the burst, relative to the room. */
const CALM_LOAD = 0.7;
const BURST = { fromMs: 6_000, untilMs: 16_000 };
const ARRIVALS_END_MS = 20_000;
/** Hosts of a fleet up to this size report to each other directly. */
const MAX_MESH_HOSTS = 21;
const DIRECT_REPORTS = { intervalMs: 10, delayMs: 5 };
const RELAYED_REPORTS = { intervalMs: 100, delayMs: 20 };

interface Host {
  readonly loads: LoadState;
  readonly fleet: FleetWaiting;
  readonly roomRate: RoomRate;
  readonly queue: WaitQueue;
  nextTickMs: number;
}

interface Report {
  readonly from: number;
  readonly deliverAtMs: number;
  readonly sentAtMs: number;
  readonly loads: ReturnType<typeof computeLocalLoads>;
  readonly conduct: LoadState["conduct"];
  readonly waiting: WaitingReport["waiting"];
}

/**
 * Simulates a burst of two kinds of generations on modelled engines, with hosts that order their
 * waiting requests and know of each other by reports. Time is simulated; no clock is read.
 */
export function runWaitingLoad(options: WaitingLoadOptions): WaitingLoadFigures {
  const random = createSeededRandom(options.seed);
  const choiceRandom = createSeededRandom(options.seed + 1);
  const requests: WaitingLoadRequest[] = [];
  const running = new Map<string, { request: WaitingLoadRequest; inFlight: InFlightRequest }>();
  let reports: Report[] = [];
  let nowMs = 0;

  const recordTokens = (id: string, count: number, firstAtMs: number, stepMs: number) => {
    const run = running.get(id);
    const host = hosts[run?.request.host ?? -1];
    if (run === undefined || host === undefined) {
      return;
    }
    const { inFlight, request } = run;
    inFlight.producedTokens += count;
    const { upstreamId } = inFlight;
    observePerformance(host.loads, { upstreamId, tokenMs: stepMs });
    if (inFlight.isPrefilling) {
      inFlight.isPrefilling = false;
      request.firstMs = firstAtMs;
      const prefillMs = Math.max(1, firstAtMs - inFlight.placedAtMs);
      const tokensPerMs = (inFlight.promptTokens + inFlight.aheadTokens) / prefillMs;
      observePerformance(host.loads, { upstreamId, tokensPerMs });
    }
  };
  const engines = new Map<string, EngineModel>();
  for (let index = 0; index < options.engines; index++) {
    engines.set(
      `e${index}`,
      createEngineModel({
        capacityTokens: LIMITS.memoryTokens,
        maxBatch: LIMITS.slots,
        baseStepMs: 7,
        sequenceStepMs: 0.12,
        prefillTokenMs: 1 / 14,
        speed: SPEEDS[index % SPEEDS.length] ?? 1,
        reportLagMs: 0,
        prefixCacheTokens: 0,
      }, {
        addTokens: ({ id, count, firstAtMs, stepMs }) => recordTokens(id, count, firstAtMs, stepMs),
        finishJob: (id) => {
          const run = running.get(id);
          hosts[run?.request.host ?? -1]?.loads.inFlightRequests.delete(id);
          running.delete(id);
        },
        pauseJob: () => {},
      }),
    );
  }
  const upstreams = [...engines.keys()].map(describeEngine);

  const hosts = Array.from({ length: options.hosts }, (): Host => {
    const loads = createLoadState();
    const fleet = createFleetWaiting();
    const roomRate = createRoomRate();
    const queue = options.createQueue({
      random: choiceRandom,
      logger: { writeEvent: () => {} },
      metrics: { increment: () => {}, gauge: () => {} },
      listRoom: () => ({ candidates: listCandidates(loads, upstreams, nowMs), limits: LIMITS }),
      fleet,
      roomRate,
      reportChange: () => {},
    });
    return { loads, fleet, roomRate, queue, nextTickMs: random.nextInteger(TICK_MS) };
  });

  const tryPlace = (request: WaitingLoadRequest, turn: PlacementTurn) => {
    const leftMs = request.arrivedMs + request.targetMs - nowMs;
    const chosen = chooseEngine(turn.candidates, {
      limits: LIMITS,
      prefillTokens: request.promptTokens,
      outputTokens: estimateRemainingTokens(request.size),
      memoryTokens: estimateMemoryTokens(request.size),
      firstTokenMs: turn.isLate || leftMs <= 0
        ? Number.POSITIVE_INFINITY
        : leftMs * BALANCING_LIMITS.firstTokenShare,
      memoryShare: BALANCING_LIMITS.plannedMemoryShare,
      random: choiceRandom,
      costTolerance: computeCostTolerance(options.hosts),
    });
    const engine = engines.get(chosen?.upstream.record.id ?? "");
    if (chosen === undefined || engine === undefined) {
      return false;
    }
    const inFlight: InFlightRequest = {
      ...request.size,
      requestId: request.id,
      upstreamId: chosen.upstream.record.id,
      copyUpstreamId: undefined,
      isPrefilling: true,
      placedAtMs: nowMs,
      aheadTokens: chosen.load.prefillingTokens,
    };
    hosts[request.host]?.loads.inFlightRequests.set(request.id, inFlight);
    hosts[request.host]?.queue.recordStart(describeEntry(request), nowMs);
    running.set(request.id, { request, inFlight });
    const { promptTokens, outputTokens } = request;
    engine.submitJob({ id: request.id, promptTokens, outputTokens, priority: 5 }, nowMs);
    return true;
  };

  const describeEntry = (request: WaitingLoadRequest): WaitQueueEntry => {
    const refuse = () => {
      request.refusedMs = nowMs;
    };
    return {
      requestId: request.id,
      service: "llm",
      priority: request.isLong ? LONG.priority : SHORT.priority,
      account: request.account,
      kind: request.isLong ? "long" : "short",
      arrivedAtMs: request.arrivedMs,
      targetAtMs: request.arrivedMs + request.targetMs,
      expiresAtMs: request.arrivedMs + (request.isLong ? LONG : SHORT).maxWaitMs,
      promptTokens: request.promptTokens,
      memoryTokens: estimateMemoryTokens(request.size),
      isWaiting: () => request.refusedMs === undefined && !running.has(request.id),
      tryPlace: (turn) => tryPlace(request, turn),
      expire: refuse,
      refuse,
    };
  };
  const chooseHost = () => {
    const weights = hosts.map((_, index) =>
      index % DATA_CENTRES === 0 ? FIRST_DATA_CENTRE_WEIGHT : 1
    );
    let left = random.nextFloat() * weights.reduce((sum, weight) => sum + weight, 0);
    return Math.max(0, weights.findIndex((weight) => (left -= weight) < 0));
  };
  const addRequest = (isLong: boolean) => {
    const kind = isLong ? LONG : SHORT;
    const draw = () => random.nextFloat() + random.nextFloat() + random.nextFloat() - 1.5;
    const promptTokens = Math.round(
      Math.min(
        MAX_PROMPT_TOKENS,
        Math.max(200, kind.promptTokens * (1 + 2 * kind.spread * draw())),
      ),
    );
    const outputTokens = Math.round(kind.outputTokens * (0.7 + 0.6 * random.nextFloat()));
    const host = chooseHost();
    const request: WaitingLoadRequest = {
      id: `r${requests.length}`,
      host,
      dataCentre: host % DATA_CENTRES,
      account: random.nextFloat() < LARGE_ACCOUNT_SHARE ? "large" : "small",
      isLong,
      promptTokens,
      outputTokens,
      size: {
        promptTokens,
        expectedTokens: outputTokens * (0.7 + 0.6 * random.nextFloat()),
        maxOutputTokens: kind.outputTokens * 2,
        producedTokens: 0,
      },
      arrivedMs: nowMs,
      targetMs: kind.targetMs,
      firstMs: undefined,
      refusedMs: undefined,
    };
    requests.push(request);
    const { queue } = hosts[host] as Host;
    const entry = describeEntry(request);
    const isPlaced = queue.isContested("llm", nowMs)
      ? queue.placeNew(entry, nowMs)
      : tryPlace(request, {
        candidates: listCandidates((hosts[host] as Host).loads, upstreams, nowMs),
        isLate: false,
      });
    if (!isPlaced && !queue.add(entry)) {
      request.refusedMs = nowMs;
    }
  };
  const addArrivals = () => {
    const isBurst = nowMs >= BURST.fromMs && nowMs < BURST.untilMs;
    const longPerSecond = LONG_PER_ENGINE * options.engines * (isBurst ? options.load : CALM_LOAD);
    for (const isLong of [true, false]) {
      let expected = longPerSecond * (isLong ? 1 : SHORT_PER_LONG) * STEP_MS / 1_000;
      for (; expected > 0; expected--) {
        if (random.nextFloat() < expected) {
          addRequest(isLong);
        }
      }
    }
  };

  const { intervalMs, delayMs } = options.hosts <= MAX_MESH_HOSTS
    ? DIRECT_REPORTS
    : RELAYED_REPORTS;
  const exchangeReports = () => {
    hosts.forEach(({ loads, queue }, from) => {
      if ((nowMs + from * STEP_MS) % intervalMs === 0) {
        reports.push({
          from,
          deliverAtMs: nowMs + delayMs,
          sentAtMs: nowMs,
          loads: computeLocalLoads(loads),
          conduct: new Map(loads.conduct),
          waiting: queue.listReported(nowMs),
        });
      }
    });
    const due = reports.filter(({ deliverAtMs }) => deliverAtMs <= nowMs);
    reports = reports.filter(({ deliverAtMs }) => deliverAtMs > nowMs);
    for (const report of due) {
      const name = `h${report.from}`;
      for (const [index, { loads, fleet, roomRate }] of hosts.entries()) {
        const known = loads.peers.get(name)?.loads ?? new Map();
        for (const tokens of computeFreedTokens(known, report.loads).values()) {
          roomRate.recordFreed("llm", tokens, nowMs);
        }
        if (index === report.from) {
          continue;
        }
        loads.peers.set(name, { ...report, expiresAtMs: Number.POSITIVE_INFINITY });
        fleet.acceptReport({ host: name, waiting: report.waiting }, report.sentAtMs);
      }
    }
  };

  const isOpen = ({ firstMs, refusedMs }: WaitingLoadRequest) =>
    firstMs === undefined && refusedMs === undefined;
  for (; nowMs < ARRIVALS_END_MS || requests.some(isOpen); nowMs += STEP_MS) {
    if (nowMs < ARRIVALS_END_MS) {
      addArrivals();
    }
    for (const host of hosts) {
      if (nowMs >= host.nextTickMs) {
        host.queue.expireAndPlaceNext(nowMs);
        host.nextTickMs = nowMs + TICK_MS * (0.5 + choiceRandom.nextFloat());
      }
    }
    engines.forEach((engine) => engine.advanceTo(nowMs));
    exchangeReports();
  }
  return tallyWaitingLoad(
    requests.filter(({ arrivedMs }) => arrivedMs >= BURST.fromMs && arrivedMs < BURST.untilMs),
  );
}

function describeEngine(id: string) {
  const record = {
    ...{ id, service: "llm", address: "10.0.0.1:1", dataCentre: "a", slots: 24 },
    ...{ isLeaving: false, slowForMs: 0, startedAt: 1, sequence: 0 },
  };
  return { record, status: "ready" as const, sinceMs: 0, isAbsent: false, slowUntilMs: 0 };
}
