/**
 * Token source worker of the relay bench: an engine that emits tokens at a fixed interval and the
 * settings service that publishes it. The text of each token is the time of its emission.
 * @module
 */
import { createSettingsService } from "@crocussail/stand_ins";
import { createHash } from "node:crypto";
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { parentPort, workerData } from "node:worker_threads";
import type { HostValue } from "./host_value.ts";
import type { SourceSettings } from "./source_settings.ts";

interface TokenStream {
  readonly id: string;
  readonly length: number;
  readonly gapMs: number;
  readonly response: ServerResponse;
  index: number;
  nextMs: number;
}

const TICK_MS = 1;
const UPSTREAMS = 8;
const NS_PER_MS = 1e6;
const settings = workerData as SourceSettings;
const running = new Set<TokenStream>();

const readNowMs = () => Number(process.hrtime.bigint()) / NS_PER_MS;

function sendToken(tokenStream: TokenStream): void {
  const { id, response, index } = tokenStream;
  if (index === tokenStream.length) {
    response.end(`data: {"generation":"${id}","index":${index},"finish":"stop"}\n\n`);
    running.delete(tokenStream);
    return;
  }
  const token = readNowMs().toFixed(3);
  response.write(`data: {"generation":"${id}","index":${index},"token":"${token} "}\n\n`);
  tokenStream.index += 1;
  tokenStream.nextMs += tokenStream.gapMs;
}

function sendDueTokens(): void {
  const nowMs = readNowMs();
  for (const tokenStream of running) {
    if (tokenStream.nextMs <= nowMs) {
      sendToken(tokenStream);
    }
  }
}

/** Starts a token stream; its interval is taken from the prompt, `gap <ms>`. */
function startTokenStream(body: string, response: ServerResponse): void {
  const request = JSON.parse(body) as { generation: string; prompt: string; max_tokens: number };
  const gapMs = Number(/^gap (\d+)/.exec(request.prompt)?.[1] ?? 0);
  response.writeHead(200, { "content-type": "text/event-stream" });
  const tokenStream: TokenStream = {
    id: request.generation,
    length: request.max_tokens,
    gapMs,
    response,
    index: 0,
    nextMs: readNowMs() + gapMs,
  };
  sendToken(tokenStream);
  running.add(tokenStream);
  response.on("close", () => running.delete(tokenStream));
}

function handleRequest(request: IncomingMessage, response: ServerResponse): void {
  if (request.method !== "POST") {
    request.resume();
    const load = { running: running.size, waiting: 0, used_tokens: 0, capacity_tokens: 1e9 };
    const report = { ...load, preemptions: 0, leaving: false, models: ["plan-70b"] };
    response.end(request.url === "/v1/load" ? JSON.stringify(report) : "");
    return;
  }
  let body = "";
  request.setEncoding("utf8");
  request.on("data", (chunk) => body += chunk);
  request.on("end", () => startTokenStream(body, response));
}

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Publishes the engine under several names so that no limit per upstream restricts the load. */
function createUpstreams(engineUrl: string): Record<string, string> {
  const value = `kind = engine\nurl = ${engineUrl}\ndata_centre = toledo\nmodels = plan-70b\n` +
    "capacity_tokens = 1000000000\nmax_batch = 100000\n";
  const names = Array.from({ length: UPSTREAMS }, (_, index) => `upstreams/plan-${index + 1}`);
  return Object.fromEntries(names.map((name) => [name, value]));
}

const engine = createServer(handleRequest);
engine.listen(0, "127.0.0.1", async () => {
  const engineUrl = `http://127.0.0.1:${(engine.address() as AddressInfo).port}`;
  const sha256 = createHash("sha256").update(settings.apiKey).digest("hex");
  const service = await createSettingsService({
    values: {
      "models/plan-70b": "version = 1\n",
      ...createUpstreams(engineUrl),
      "teams/planners/access": "models = plan-70b\nmax_streams = 100000\n",
      "teams/planners/kinds":
        "[default]\nurgency = 0\ndeadline_ms = 600000\ntoken_gap_ms = 600000\n",
      "teams/planners/keys": `[bench]\nsha256 = ${sha256}\n`,
    },
  });
  parentPort?.on("message", (message: "collectGarbage" | HostValue) => {
    if (message === "collectGarbage") {
      collectGarbage();
      return;
    }
    service.putValue(message.path, message.value);
  });
  setInterval(sendDueTokens, TICK_MS);
  parentPort?.postMessage({ engineUrl, settingsUrl: service.url });
});
