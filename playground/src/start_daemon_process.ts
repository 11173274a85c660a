import { formatDaemonSettings, formatHostValue } from "@crocussail/local_fleet";
import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import { request } from "undici";
import { z } from "zod";
import { PLAYGROUND } from "./constants.ts";
import { startProcess } from "./start_process.ts";
import type { StartedProcess } from "./start_process.ts";

/** Options of {@link startDaemonProcess}. */
export interface DaemonProcessOptions {
  /** 0-based index of the host. */
  readonly index: number;
  /** Directory for settings files. */
  readonly directory: string;
  readonly settingsUrl: string;
  /** Base URL of the stand-ins' control API, which stores settings values. */
  readonly controlUrl: string;
}

/** One `crocussaild` process. */
export interface DaemonProcess extends StartedProcess {
  readonly host: string;
  /** Base URL for callers. */
  readonly url: string;
}

const DAEMON_STARTED_EVENT = 1000;
const startedEventSchema = z.looseObject({
  event: z.literal(DAEMON_STARTED_EVENT),
  caller: z.number(),
  peer: z.number(),
  operator: z.number(),
});

/** Starts a daemon on free ports and publishes its host's settings value. */
export async function startDaemonProcess(options: DaemonProcessOptions): Promise<DaemonProcess> {
  const host = `host-${options.index + 1}`;
  const dataCentre = PLAYGROUND.dataCentres[options.index % PLAYGROUND.dataCentres.length] ?? "";
  const file = join(options.directory, `${host}.ini`);
  const { operatorToken, fleetKey } = PLAYGROUND;
  const { settingsUrl } = options;
  await writeFile(
    file,
    formatDaemonSettings({ host, dataCentre, settingsUrl, operatorToken, fleetKey }),
  );
  const startedProcess = await startProcess({
    args: ["packages/daemon/dist/main.js", "--settings", file],
    readyStream: "stderr",
    parseReady: (line) => startedEventSchema.safeParse(parseJson(line)).data,
  });
  const ports = startedEventSchema.parse(startedProcess.ready);
  const value = formatHostValue({ ports, dataCentre });
  await request(`${options.controlUrl}/values?path=hosts/${host}`, {
    method: "PUT",
    headers: { "content-type": "text/plain" },
    body: value,
  });
  return { ...startedProcess, host, url: `http://127.0.0.1:${ports.caller}` };
}

function parseJson(line: string): unknown {
  try {
    return JSON.parse(line);
  } catch {
    return undefined;
  }
}
