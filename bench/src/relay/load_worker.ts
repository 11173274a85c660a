/**
 * Load worker of the relay bench: opens streams at a steady rate and measures token times.
 * @module
 */
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { Agent, request as sendHttpRequest } from "node:http";
import type { ClientRequest, IncomingMessage } from "node:http";
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { parentPort } from "node:worker_threads";
import type { LoadRunOptions } from "./load_run_options.ts";
import type { LoadResult, Percentiles } from "./load_result.ts";

/** State of one run; the histograms are in microseconds. */
interface LoadState {
  readonly order: LoadRunOptions;
  readonly firstTokenDelays: Histogram;
  readonly tokenDelays: Histogram;
  readonly openRequests: Set<ClientRequest>;
  /** Arrived tokens by second of the run. */
  readonly tokensBySecond: number[];
  readonly startMs: number;
  tokens: number;
  finished: number;
  failed: number;
  isStopped: boolean;
}

const NS_PER_MS = 1e6;
const MS_PER_SECOND = 1_000;
const US_PER_MS = 1_000;
/** A token of the token source; its text is the time of emission in milliseconds. */
const TOKEN_PATTERN = /"(?:token|content)":"(\d+\.\d+) "/g;
const FINISH_PATTERN = /"finish(?:_reason)?":"stop"/;
const agent = new Agent({ keepAlive: true, maxSockets: Number.POSITIVE_INFINITY });

const readNowMs = () => Number(process.hrtime.bigint()) / NS_PER_MS;
const createHistogram = () =>
  build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  });

function openStream(state: LoadState): void {
  const { order } = state;
  const isDaemon = order.target === "daemon";
  // Tells the token source the time between tokens.
  const prompt = `gap ${order.gapMs}`;
  const body = JSON.stringify(
    isDaemon
      ? {
        model: "plan-70b",
        messages: [{ role: "user", content: prompt }],
        max_tokens: order.tokens,
        stream: true,
      }
      : {
        generation: `g${state.startMs}-${state.openRequests.size}-${state.tokens}`,
        prompt,
        max_tokens: order.tokens,
      },
  );
  const sentMs = readNowMs();
  const path = isDaemon ? "/v1/chat/completions" : "/v1/generations";
  const headers = {
    "authorization": `Bearer ${order.apiKey}`,
    "content-type": "application/json",
    "content-length": body.length,
  };
  const call = sendHttpRequest(`${order.url}${path}`, { method: "POST", agent, headers });
  state.openRequests.add(call);
  call.on("response", (response) => readStream(state, { call, response, sentMs }));
  call.on("error", () => endStream(state, call, false));
  call.end(body);
}

function readStream(
  state: LoadState,
  stream: { call: ClientRequest; response: IncomingMessage; sentMs: number },
): void {
  let isFirst = true;
  let isFinished = false;
  stream.response.setEncoding("latin1");
  stream.response.on("data", (text: string) => {
    const nowMs = readNowMs();
    for (const match of text.matchAll(TOKEN_PATTERN)) {
      const emittedMs = Number(match[1]);
      if (isFirst) {
        recordMs(state.firstTokenDelays, nowMs - stream.sentMs);
      } else {
        recordMs(state.tokenDelays, nowMs - emittedMs);
      }
      isFirst = false;
      recordToken(state, nowMs);
    }
    isFinished ||= FINISH_PATTERN.test(text);
  });
  stream.response.on("error", () => {});
  stream.response.on("close", () => endStream(state, stream.call, isFinished));
}

function recordToken(state: LoadState, nowMs: number): void {
  const second = Math.floor((nowMs - state.startMs) / MS_PER_SECOND);
  state.tokens += 1;
  state.tokensBySecond[second] = (state.tokensBySecond[second] ?? 0) + 1;
}

function endStream(state: LoadState, call: ClientRequest, isFinished: boolean): void {
  if (!state.openRequests.delete(call) || state.isStopped) {
    return;
  }
  state.finished += isFinished ? 1 : 0;
  state.failed += isFinished ? 0 : 1;
}

function recordMs(histogram: Histogram, ms: number): void {
  histogram.recordValue(Math.max(1, Math.round(ms * US_PER_MS)));
}

function computePercentiles(histogram: Histogram): Percentiles {
  const read = (percent: number) => histogram.getValueAtPercentile(percent) / US_PER_MS;
  return { p50: read(50), p95: read(95), p99: read(99) };
}

/** Median of the busiest half of the seconds; this excludes the ramps at both ends of the run. */
function computeSteadyRate(tokensBySecond: readonly number[]): number {
  const sorted = [...tokensBySecond].map((count) => count ?? 0).sort((left, right) => right - left);
  return sorted[Math.floor(sorted.length / 4)] ?? 0;
}

async function runLoad(order: LoadRunOptions): Promise<LoadResult> {
  const state: LoadState = {
    order,
    firstTokenDelays: createHistogram(),
    tokenDelays: createHistogram(),
    openRequests: new Set(),
    tokensBySecond: [],
    startMs: readNowMs(),
    tokens: 0,
    finished: 0,
    failed: 0,
    isStopped: false,
  };
  let startedCount = 0;
  const isDue = () => {
    const elapsedMs = readNowMs() - state.startMs;
    return order.requestsPerSecond === 0 ||
      startedCount < elapsedMs * order.requestsPerSecond / MS_PER_SECOND;
  };
  while (startedCount < order.requests || state.openRequests.size > 0) {
    while (startedCount < order.requests && isDue()) {
      startedCount += 1;
      openStream(state);
    }
    await new Promise((resolve) => setTimeout(resolve, 1));
    if (order.stopAfterMs > 0 && readNowMs() - state.startMs > order.stopAfterMs) {
      break;
    }
  }
  state.isStopped = true;
  return {
    tokens: state.tokens,
    finished: state.finished,
    failed: state.failed,
    tokensPerSecond: computeSteadyRate(state.tokensBySecond),
    firstTokenMs: computePercentiles(state.firstTokenDelays),
    tokenMs: computePercentiles(state.tokenDelays),
  };
}

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

parentPort?.on("message", async (message: LoadRunOptions | "closeStreams" | "collectGarbage") => {
  if (message === "closeStreams") {
    agent.destroy();
    return;
  }
  if (message === "collectGarbage") {
    collectGarbage();
    return;
  }
  parentPort?.postMessage(await runLoad(message));
});
