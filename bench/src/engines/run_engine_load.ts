import {
  computeLoads,
  computeLocalLoads,
  createLoadState,
  estimateMemoryTokens,
  estimateRemainingTokens,
  listCandidates,
  observePerformance,
} from "@crocussail/daemon/balancing";
import type { InFlightRequest, LoadState } from "@crocussail/daemon/balancing";
import { createEngineModel } from "@crocussail/stand_ins";
import type { EngineModel } from "@crocussail/stand_ins";
import { createSeededRandom } from "../fleet/create_seeded_random.ts";
import type { EngineLoadFigures, EngineLoadOptions } from "./engine_load_options.ts";

const STEP_MS = 5;
/** Time until the other hosts know of a load change: batching, connection and event loop. */
const REPORT_DELAY_MS = 10;
const RECLAIM_NOTICE_MS = 1_700;
const REPLACEMENT_DELAY_MS = 4_000;
const MEMORY_TOKENS = 34_000;
const SPEEDS = [0.55, 1.2, 1.2, 1.2];
const LONG = {
  promptTokens: 3_000,
  meanOutput: 936,
  maxOutput: 2_216,
  targetMs: 1_800,
  credit: 210,
};
const SHORT = { promptTokens: 2_500, meanOutput: 12, maxOutput: 40, targetMs: 1_500, credit: 22 };
const WINDOW_MS = 2_000;
const MAX_WAIT_IN_TARGETS = 2.5;

interface Engine {
  readonly id: string;
  readonly model: EngineModel;
  leavesAtMs: number;
}

interface Request {
  readonly id: string;
  readonly host: LoadState;
  readonly arrivedMs: number;
  readonly isLong: boolean;
  readonly outputTokens: number;
  readonly expectedTokens: number;
  engine: Engine | undefined;
  produced: number;
  firstMs: number | undefined;
  endMs: number | undefined;
  isLost: boolean;
}

/**
 * Simulates a load on modelled engines with hosts that decide independently of each other. Time is
 * simulated; no clock is read.
 */
export function runEngineLoad(options: EngineLoadOptions): EngineLoadFigures {
  const random = createSeededRandom(options.seed);
  const choiceRandom = createSeededRandom(options.seed + 1);
  const hosts = Array.from({ length: options.hosts }, () => createLoadState());
  const requests: Request[] = [];
  const running = new Map<string, Request>();
  let waiting: Request[] = [];
  let engines: Engine[] = [];
  let nowMs = 0;
  let startedEngineCount = 0;

  const startEngine = () => {
    const id = `e${startedEngineCount}`;
    const model = createEngineModel({
      capacityTokens: MEMORY_TOKENS,
      maxBatch: 24,
      baseStepMs: 7,
      sequenceStepMs: 0.12,
      prefillTokenMs: 1 / 14,
      speed: SPEEDS[startedEngineCount++ % SPEEDS.length] ?? 1,
      reportLagMs: 0,
      prefixCacheTokens: 0,
    }, {
      addTokens: ({ id: requestId, count, firstAtMs, stepMs }) => {
        const request = running.get(requestId);
        if (request !== undefined) {
          recordTokens(request, count, firstAtMs, stepMs);
        }
      },
      finishJob: (requestId, atMs) => endRequest(requestId, atMs),
      pauseJob: () => {},
    });
    engines.push({ id, model, leavesAtMs: Number.POSITIVE_INFINITY });
  };
  const recordTokens = (request: Request, count: number, firstAtMs: number, stepMs: number) => {
    const inFlight = request.host.inFlightRequests.get(request.id);
    request.produced += count;
    if (inFlight === undefined || request.engine === undefined) {
      return;
    }
    inFlight.producedTokens = request.produced;
    const upstreamId = request.engine.id;
    observePerformance(request.host, { upstreamId, tokenMs: stepMs });
    if (inFlight.isPrefilling) {
      inFlight.isPrefilling = false;
      request.firstMs ??= firstAtMs;
      const prefillMs = Math.max(1, firstAtMs - inFlight.placedAtMs);
      const tokensPerMs = (inFlight.promptTokens + inFlight.aheadTokens) / prefillMs;
      observePerformance(request.host, { upstreamId, tokensPerMs });
    }
  };
  const endRequest = (id: string, atMs: number) => {
    const request = running.get(id);
    if (request !== undefined) {
      request.endMs = atMs;
      request.host.inFlightRequests.delete(id);
      running.delete(id);
    }
  };

  const tryPlace = (request: Request, isMigration: boolean): boolean => {
    const kind = request.isLong ? LONG : SHORT;
    const size = {
      promptTokens: kind.promptTokens,
      maxOutputTokens: kind.maxOutput,
      expectedTokens: request.expectedTokens,
      producedTokens: request.produced,
    };
    const usable = engines.filter(({ leavesAtMs }) => leavesAtMs === Number.POSITIVE_INFINITY);
    const candidates = listCandidates(request.host, usable.map(describeEngine), nowMs);
    const leftMs = request.arrivedMs + kind.targetMs - nowMs;
    const chosen = options.chooseEngine(candidates, {
      prefillTokens: isMigration ? 0 : kind.promptTokens,
      outputTokens: estimateRemainingTokens(size),
      memoryTokens: estimateMemoryTokens(size),
      firstTokenMs: isMigration || leftMs <= 0 ? Number.POSITIVE_INFINITY : leftMs * 0.9,
      isMigration,
      hosts: options.hosts,
      random: choiceRandom,
    });
    const engine = engines.find(({ id }) => id === chosen?.upstream.record.id);
    if (engine === undefined) {
      return false;
    }
    request.engine?.model.cancelJob(request.id);
    request.engine = engine;
    const aheadTokens = computeLoads(request.host, nowMs).get(engine.id)?.prefillingTokens ?? 0;
    const inFlight: InFlightRequest = {
      requestId: request.id,
      upstreamId: engine.id,
      copyUpstreamId: undefined,
      moveUpstreamId: undefined,
      ...size,
      isPrefilling: !isMigration,
      placedAtMs: nowMs,
      aheadTokens,
    };
    request.host.inFlightRequests.set(request.id, inFlight);
    running.set(request.id, request);
    engine.model.submitJob({
      id: request.id,
      promptTokens: isMigration ? 1 : kind.promptTokens,
      outputTokens: Math.max(1, request.outputTokens - request.produced),
      priority: 5,
    }, nowMs);
    return true;
  };

  const addArrivals = () => {
    for (const isLong of [true, false]) {
      const perSecond = options.longPerSecond * (isLong ? 1 : 1.4);
      if (random.nextFloat() >= perSecond * STEP_MS / 1_000) {
        continue;
      }
      const kind = isLong ? LONG : SHORT;
      const draw = -Math.log(1 - random.nextFloat()) * kind.meanOutput;
      const request: Request = {
        id: `r${requests.length}`,
        host: hosts[random.nextInteger(hosts.length)] as LoadState,
        arrivedMs: nowMs,
        isLong,
        outputTokens: Math.max(1, Math.min(kind.maxOutput, Math.round(draw))),
        expectedTokens: Math.min(kind.maxOutput, draw * (0.4 + 1.4 * random.nextFloat())),
        ...{ engine: undefined, produced: 0, firstMs: undefined, endMs: undefined, isLost: false },
      };
      requests.push(request);
      waiting.push(request);
    }
  };
  const updateEngines = () => {
    const stepIndex = Math.round(nowMs / STEP_MS);
    const stepsBetweenReclaims = Math.round(options.reclaimEveryMs / STEP_MS);
    const reclaimed = engines[random.nextInteger(engines.length)];
    if (
      stepsBetweenReclaims > 0 && stepIndex % stepsBetweenReclaims === 0 &&
      reclaimed?.leavesAtMs === Number.POSITIVE_INFINITY
    ) {
      reclaimed.leavesAtMs = nowMs + RECLAIM_NOTICE_MS;
    }
    for (const engine of engines) {
      const assigned = [...running.values()].filter((request) => request.engine === engine);
      if (options.migratesOnNotice && engine.leavesAtMs !== Number.POSITIVE_INFINITY) {
        assigned.filter((request) => request.firstMs !== undefined)
          .forEach((request) => tryPlace(request, true));
      }
      if (nowMs >= engine.leavesAtMs) {
        assigned.filter((request) => request.engine === engine).forEach((request) => {
          request.isLost = true;
          request.host.inFlightRequests.delete(request.id);
          running.delete(request.id);
        });
        engine.model.stopAtOnce();
      }
    }
    const ended = engines.filter(({ leavesAtMs }) => nowMs >= leavesAtMs + REPLACEMENT_DELAY_MS);
    ended.forEach(startEngine);
    engines = engines.filter((engine) => !ended.includes(engine));
  };
  const exchangeReports = () => {
    if (nowMs % REPORT_DELAY_MS !== 0) {
      return;
    }
    const reports = hosts.map((host) => ({
      expiresAtMs: Number.POSITIVE_INFINITY,
      loads: computeLocalLoads(host),
      conduct: new Map(host.conduct),
    }));
    hosts.forEach((host, index) =>
      reports.forEach((report, from) => from !== index && host.peers.set(`h${from}`, report))
    );
  };

  for (let index = 0; index < options.engines; index++) {
    startEngine();
  }
  const endMs = options.seconds * 1_000;
  for (; nowMs < endMs || running.size + waiting.length > 0; nowMs += STEP_MS) {
    if (nowMs < endMs) {
      addArrivals();
    }
    updateEngines();
    const placedHosts = new Set<LoadState>();
    waiting = waiting.filter((request) => {
      const kind = request.isLong ? LONG : SHORT;
      if (nowMs - request.arrivedMs > kind.targetMs * MAX_WAIT_IN_TARGETS) {
        request.isLost = true;
        return false;
      }
      const isPlaced = !placedHosts.has(request.host) && tryPlace(request, false);
      if (isPlaced) {
        placedHosts.add(request.host);
      }
      return !isPlaced;
    });
    engines.forEach(({ model, leavesAtMs }) => nowMs < leavesAtMs && model.advanceTo(nowMs));
    exchangeReports();
  }
  return tallyRequests(requests);
}

function describeEngine({ id }: Pick<Engine, "id">) {
  const record = {
    ...{ id, service: "llm", address: "10.0.0.1:1", dataCentre: "a", slots: 24 },
    ...{ isLeaving: false, slowForMs: 0, startedAt: 1, sequence: 0 },
  };
  return {
    record,
    status: "ready" as const,
    sinceMs: 0,
    isAbsent: false,
    slowUntilMs: 0,
    coldUntilMs: -Infinity,
    startSeenMs: -Infinity,
  };
}

function tallyRequests(requests: readonly Request[]): EngineLoadFigures {
  const isInTime = (request: Request) =>
    !request.isLost && request.firstMs !== undefined &&
    request.firstMs - request.arrivedMs <= (request.isLong ? LONG : SHORT).targetMs;
  const windows = new Map<number, { possible: number; achieved: number }>();
  for (const request of requests) {
    const key = Math.floor(request.arrivedMs / WINDOW_MS);
    const window = windows.get(key) ?? { possible: 0, achieved: 0 };
    const credit = (request.isLong ? LONG : SHORT).credit;
    window.possible += credit;
    window.achieved += isInTime(request) ? credit : request.isLost ? 0 : credit * 0.15;
    windows.set(key, window);
  }
  const ended = requests.filter((request) => request.isLong && request.endMs !== undefined);
  const inTime = requests.filter(isInTime).length;
  const lost = requests.filter((request) => request.isLost).length;
  return {
    asked: requests.length,
    inTime,
    lost,
    late: requests.length - inTime - lost,
    worstWindow: Math.min(
      ...[...windows.values()].map(({ possible, achieved }) => achieved / possible),
    ),
    meanLongMs: ended.reduce((sum, request) => sum + (request.endMs ?? 0) - request.arrivedMs, 0) /
      Math.max(1, ended.length),
  };
}
