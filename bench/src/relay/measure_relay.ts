import { performance } from "node:perf_hooks";
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import type { LoadRunOptions } from "./load_run_options.ts";
import type { RelayFigures, RelayRun } from "./relay_figures.ts";
import { RELAY_TARGETS } from "./relay_targets.ts";
import type { RelayFixture } from "./start_relay_fixture.ts";

const TOKEN_GAP_MS = 37;
const MS_PER_SECOND = 1_000;
const TOKENS = 100;
const RUN_SECONDS = 8;
const FULL_LOAD_FACTOR = 1.25;
/** Streams that first fill the memory pools of the process, and streams that are measured. */
const IDLE_STREAMS = {
  engine: { warmUp: 500, measured: 500 },
  daemon: { warmUp: 1_500, measured: 2_000 },
};
const IDLE_OPENS_PER_SECOND = 1_000;
const IDLE_GAP_MS = 600_000;
const IDLE_RUN_MS = 4_000;
const WARM_UP_STREAMS = 100;
const SETTLE_MS = 1_000;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Runs every measurement in one process and returns its figures. */
export async function measureRelay(fixture: RelayFixture): Promise<RelayFigures> {
  const halfLoad = RELAY_TARGETS.minTokensPerSecond / 2;
  await prepareCode(fixture);
  const directStreams = await measureStreams(fixture, "engine");
  const relayedStreams = await measureStreams(fixture, "daemon");
  fixture.closeStreams();
  await settleMemory(fixture);
  await runLoad(fixture, "engine", halfLoad);
  await runLoad(fixture, "daemon", halfLoad);
  const direct = await runLoad(fixture, "engine", halfLoad);
  const relayed = await runLoad(fixture, "daemon", halfLoad);
  const full = await runLoad(
    fixture,
    "daemon",
    RELAY_TARGETS.minTokensPerSecond * FULL_LOAD_FACTOR,
  );
  return {
    direct,
    relayed,
    full,
    directStreamBytes: directStreams.residentBytes,
    relayedStreamBytes: relayedStreams.residentBytes,
    heapStreamBytes: relayedStreams.heapBytes,
  };
}

function createTargetOptions(fixture: RelayFixture, target: LoadRunOptions["target"]) {
  const url = target === "daemon" ? fixture.daemonUrl : fixture.engineUrl;
  return { url, target, apiKey: fixture.apiKey };
}

async function runLoad(
  fixture: RelayFixture,
  target: LoadRunOptions["target"],
  tokensPerSecond: number,
): Promise<RelayRun> {
  const requestsPerSecond = tokensPerSecond / TOKENS;
  const before = performance.eventLoopUtilization();
  const result = await fixture.runLoad({
    ...createTargetOptions(fixture, target),
    requestsPerSecond,
    requests: Math.round(requestsPerSecond * RUN_SECONDS),
    tokens: TOKENS,
    gapMs: TOKEN_GAP_MS,
    stopAfterMs: RUN_SECONDS * MS_PER_SECOND * 3,
  });
  const loopUtilization = performance.eventLoopUtilization(before).utilization;
  return { ...result, loopUtilization };
}

/** Loads the code of both paths so that its memory isn't counted as memory of streams. */
async function prepareCode(fixture: RelayFixture): Promise<void> {
  for (const target of ["engine", "daemon"] as const) {
    await fixture.runLoad({
      ...createTargetOptions(fixture, target),
      requestsPerSecond: WARM_UP_STREAMS,
      requests: WARM_UP_STREAMS,
      tokens: 2,
      gapMs: 1,
      stopAfterMs: 0,
    });
  }
}

/** Measures the memory of each further open stream after the pools of the process are filled. */
async function measureStreams(fixture: RelayFixture, target: LoadRunOptions["target"]) {
  const { warmUp, measured } = IDLE_STREAMS[target];
  await openIdleStreams(fixture, target, warmUp);
  const before = readMemory();
  await openIdleStreams(fixture, target, measured);
  const after = readMemory();
  return {
    residentBytes: (after.residentBytes - before.residentBytes) / measured,
    heapBytes: (after.heapBytes - before.heapBytes) / measured,
  };
}

/** Opens streams that send no data after their first token. */
async function openIdleStreams(
  fixture: RelayFixture,
  target: LoadRunOptions["target"],
  requests: number,
): Promise<void> {
  await fixture.runLoad({
    ...createTargetOptions(fixture, target),
    requestsPerSecond: IDLE_OPENS_PER_SECOND,
    requests,
    tokens: 2,
    gapMs: IDLE_GAP_MS,
    stopAfterMs: IDLE_RUN_MS,
  });
  await settleMemory(fixture);
}

async function settleMemory(fixture: RelayFixture): Promise<void> {
  for (let round = 0; round < 2; round++) {
    collectGarbage();
    fixture.collectGarbage();
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
  }
}

function readMemory() {
  const { rss, heapUsed, external } = process.memoryUsage();
  return { residentBytes: rss, heapBytes: heapUsed + external };
}
