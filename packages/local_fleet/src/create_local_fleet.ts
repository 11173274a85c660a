import { createProcessDaemon, resolveDaemonConfig } from "@crocussail/daemon";
import type { Daemon, DaemonPorts } from "@crocussail/daemon";
import { createEngine, createPlainService, createSettingsService } from "@crocussail/stand_ins";
import type { Engine, PlainService, SettingsService } from "@crocussail/stand_ins";
import { createHash } from "node:crypto";
import { formatDaemonSettings } from "./format_daemon_settings.ts";
import { formatHostValue } from "./format_host_value.ts";

/** Options of {@link createLocalFleet}. */
export interface LocalFleetOptions {
  /** Number of daemons. */
  readonly hosts: number;
  /** Further published values by path; they replace those of the fleet. */
  readonly values?: Readonly<Record<string, string>>;
  /** Time between two tokens of an engine, in milliseconds. */
  readonly tokenMs?: number;
  /** Tokens of an answer. */
  readonly answerTokens?: number;
}

/** One daemon of a local fleet. */
export interface LocalDaemon {
  readonly daemon: Daemon;
  readonly ports: DaemonPorts;
  /** Base URL for callers. */
  readonly url: string;
}

/** Daemons and stand-ins on loopback, in one process. */
export interface LocalFleet {
  readonly daemons: readonly LocalDaemon[];
  readonly settingsService: SettingsService;
  readonly engines: readonly Engine[];
  readonly service: PlainService;
  /** API key of the team `planners`. */
  readonly apiKey: string;
  /** Operator token of every daemon. */
  readonly operatorToken: string;
  close(): Promise<void>;
}

const API_KEY = "planners-local-key";
const OPERATOR_TOKEN = "local-operator-token";
const DATA_CENTRES = ["toledo", "detroit", "cleveland", "buffalo"];
const LOG_LEVEL_WARN = 1;

/** Starts a local fleet: settings service, two engines, one plain service and the daemons. */
export async function createLocalFleet(options: LocalFleetOptions): Promise<LocalFleet> {
  const engines = await Promise.all([1, 2].map(() =>
    createEngine({
      models: ["plan-70b"],
      ...(options.tokenMs === undefined ? {} : { tokenMs: options.tokenMs }),
      ...(options.answerTokens === undefined ? {} : { answerTokens: options.answerTokens }),
    })
  ));
  const service = await createPlainService();
  const settingsService = await createSettingsService({
    values: { ...createValues(engines, service), ...options.values },
  });
  const daemons: LocalDaemon[] = [];
  for (let index = 0; index < options.hosts; index++) {
    const started = await startDaemon(index, settingsService.url);
    daemons.push(started);
    const dataCentre = getDataCentre(index);
    const value = formatHostValue({ ports: started.ports, dataCentre });
    settingsService.putValue(`hosts/${started.daemon.host}`, value);
  }
  const close = async () => {
    await Promise.all(daemons.map(({ daemon }) => daemon.stop()));
    await Promise.all([...engines, service, settingsService].map((server) => server.close()));
  };
  return {
    daemons,
    settingsService,
    engines,
    service,
    apiKey: API_KEY,
    operatorToken: OPERATOR_TOKEN,
    close,
  };
}

async function startDaemon(index: number, settingsUrl: string): Promise<LocalDaemon> {
  const text = formatDaemonSettings({
    host: `host-${index + 1}`,
    dataCentre: getDataCentre(index),
    settingsUrl,
    operatorToken: OPERATOR_TOKEN,
  });
  const config = resolveDaemonConfig({ file: `host-${index + 1}.ini`, text }).unsafeCoerce();
  const daemon = createProcessDaemon(config, { logLevel: LOG_LEVEL_WARN });
  const ports = await daemon.start();
  return { daemon, ports, url: `http://127.0.0.1:${ports.caller}` };
}

function createValues(engines: readonly Engine[], service: PlainService): Record<string, string> {
  const values: Record<string, string> = {
    "fleet/services": "[stock]\nnon_repeatable = POST /bookings\n",
    "models/plan-70b": "version = 1\nreplicas = 2\n",
    "upstreams/stock-1":
      `kind = service\nservice = stock\nurl = ${service.url}\ndata_centre = toledo\n`,
    "teams/planners/access": "models = plan-70b\n",
    "teams/planners/kinds": "[plan]\nurgency = 5\ndeadline_ms = 120000\n",
    "teams/planners/services": "[stock]\ndeadline_ms = 5000\n",
    "teams/planners/keys": `[local]\nsha256 = ${hashKey(API_KEY)}\n`,
  };
  for (const [index, engine] of engines.entries()) {
    values[`upstreams/plan-${index + 1}`] =
      `kind = engine\nurl = ${engine.url}\ndata_centre = ${getDataCentre(index)}\n` +
      `models = plan-70b\ncapacity_tokens = 100000\n`;
  }
  return values;
}

function getDataCentre(index: number): string {
  return DATA_CENTRES[index % DATA_CENTRES.length] ?? "toledo";
}

function hashKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}
