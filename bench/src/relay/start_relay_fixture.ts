import { createProcessDaemon, resolveDaemonConfig } from "@crocussail/daemon";
import { formatDaemonSettings, formatHostValue } from "@crocussail/local_fleet";
import { once } from "node:events";
import { Worker } from "node:worker_threads";
import type { HostValue } from "./host_value.ts";
import type { LoadRunOptions } from "./load_run_options.ts";
import type { LoadResult } from "./load_result.ts";

/** A daemon on this thread, with its engine and its load generator on separate threads. */
export interface RelayFixture {
  readonly daemonUrl: string;
  readonly engineUrl: string;
  readonly apiKey: string;
  runLoad(order: LoadRunOptions): Promise<LoadResult>;
  /** Closes the streams that are still open after a run was stopped. */
  closeStreams(): void;
  /** Collects garbage on the threads of the engine and the load. */
  collectGarbage(): void;
  close(): Promise<void>;
}

const API_KEY = "relay-bench-key";
const DATA_CENTRE = "toledo";
const OPERATOR_TOKEN = "relay-bench-operator-token";
const LOG_LEVEL_ERROR = 0;
/** Time for the daemon to receive its host value, own the upstreams and read their load. */
const STARTUP_MS = 4_000;

/** Starts the daemon, the engine and the load generator. */
export async function startRelayFixture(): Promise<RelayFixture> {
  const source = new Worker(new URL("./token_source_worker.js", import.meta.url), {
    workerData: { apiKey: API_KEY },
  });
  const load = new Worker(new URL("./load_worker.js", import.meta.url));
  const [{ engineUrl, settingsUrl }] = await once(source, "message");
  const text = formatDaemonSettings({
    host: "host-1",
    dataCentre: DATA_CENTRE,
    settingsUrl,
    operatorToken: OPERATOR_TOKEN,
  });
  const config = resolveDaemonConfig({ file: "bench.ini", text }).unsafeCoerce();
  const daemon = createProcessDaemon(config, { logLevel: LOG_LEVEL_ERROR });
  const ports = await daemon.start();
  const value = formatHostValue({ ports, dataCentre: DATA_CENTRE });
  source.postMessage({ path: "hosts/host-1", value } satisfies HostValue);
  await new Promise((resolve) => setTimeout(resolve, STARTUP_MS));
  return {
    daemonUrl: `http://127.0.0.1:${ports.caller}`,
    engineUrl,
    apiKey: API_KEY,
    runLoad: async (order) => {
      load.postMessage(order);
      const [result] = await once(load, "message");
      return result;
    },
    closeStreams: () => load.postMessage("closeStreams"),
    collectGarbage: () => [source, load].forEach((worker) => worker.postMessage("collectGarbage")),
    close: async () => {
      await daemon.stop();
      await Promise.all([source.terminate(), load.terminate()]);
    },
  };
}
