import { performance } from "node:perf_hooks";
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import type { LoadOrder } from "./load_order.ts";
import type { RelayFigures, RelayRun } from "./relay_figures.ts";
import { RELAY_TARGETS } from "./relay_targets.ts";
import type { RelayFixture } from "./start_relay_fixture.ts";

const GAP_MS = 37;
const MS_PER_SECOND = 1_000;
const TOKENS = 100;
const RUN_SECONDS = 8;
const FULL_LOAD = 1.25;
/** Streams that fill the pools of the process first, and streams that are then measured. */
const IDLE_STREAMS = {
  engine: { first: 500, measured: 500 },
  daemon: { first: 1_500, measured: 2_000 },
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
  const half = RELAY_TARGETS.minTokensPerSecond / 2;
  await prepareCode(fixture);
  const directStreams = await measureStreams(fixture, "engine");
  const relayedStreams = await measureStreams(fixture, "daemon");
  fixture.closeStreams();
  await waitForQuiet(fixture);
  await runLoad(fixture, "engine", half);
  await runLoad(fixture, "daemon", half);
  const direct = await runLoad(fixture, "engine", half);
  const relayed = await runLoad(fixture, "daemon", half);
  const full = await runLoad(fixture, "daemon", RELAY_TARGETS.minTokensPerSecond * FULL_LOAD);
  return {
    direct,
    relayed,
    full,
    directStreamBytes: directStreams.residentBytes,
    relayedStreamBytes: relayedStreams.residentBytes,
    heapStreamBytes: relayedStreams.heapBytes,
  };
}

function createOrder(fixture: RelayFixture, target: LoadOrder["target"]) {
  const url = target === "daemon" ? fixture.daemonUrl : fixture.engineUrl;
  return { url, target, apiKey: fixture.apiKey };
}

async function runLoad(
  fixture: RelayFixture,
  target: LoadOrder["target"],
  tokensPerSecond: number,
): Promise<RelayRun> {
  const requestsPerSecond = tokensPerSecond / TOKENS;
  const before = performance.eventLoopUtilization();
  const result = await fixture.runLoad({
    ...createOrder(fixture, target),
    requestsPerSecond,
    requests: Math.round(requestsPerSecond * RUN_SECONDS),
    tokens: TOKENS,
    gapMs: GAP_MS,
    stopAfterMs: RUN_SECONDS * MS_PER_SECOND * 3,
  });
  const loopUtilization = performance.eventLoopUtilization(before).utilization;
  return { ...result, loopUtilization };
}

/** Loads the code of both paths, so that it does not count as memory of streams. */
async function prepareCode(fixture: RelayFixture): Promise<void> {
  for (const target of ["engine", "daemon"] as const) {
    await fixture.runLoad({
      ...createOrder(fixture, target),
      requestsPerSecond: WARM_UP_STREAMS,
      requests: WARM_UP_STREAMS,
      tokens: 2,
      gapMs: 1,
      stopAfterMs: 0,
    });
  }
}

/** Measures what each further open stream holds once the pools of the process are full. */
async function measureStreams(fixture: RelayFixture, target: LoadOrder["target"]) {
  const { first, measured } = IDLE_STREAMS[target];
  await openIdleStreams(fixture, target, first);
  const before = readMemory();
  await openIdleStreams(fixture, target, measured);
  const after = readMemory();
  return {
    residentBytes: (after.residentBytes - before.residentBytes) / measured,
    heapBytes: (after.heapBytes - before.heapBytes) / measured,
  };
}

/** Opens streams that stay silent after their first token. */
async function openIdleStreams(
  fixture: RelayFixture,
  target: LoadOrder["target"],
  requests: number,
): Promise<void> {
  await fixture.runLoad({
    ...createOrder(fixture, target),
    requestsPerSecond: IDLE_OPENS_PER_SECOND,
    requests,
    tokens: 2,
    gapMs: IDLE_GAP_MS,
    stopAfterMs: IDLE_RUN_MS,
  });
  await waitForQuiet(fixture);
}

async function waitForQuiet(fixture: RelayFixture): Promise<void> {
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
