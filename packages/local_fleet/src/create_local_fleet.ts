import type { ServiceClient } from "@crocussail/daemon";
import { createEngine, createPlainService, createSettingsService } from "@crocussail/stand_ins";
import type { Engine, PlainService, SettingsService } from "@crocussail/stand_ins";
import { createHash } from "node:crypto";
import type { LocalDaemon } from "./local_daemon.ts";
import { publishDaemon } from "./publish_daemon.ts";
import { startLocalDaemon } from "./start_local_daemon.ts";
import { waitUntilReady } from "./wait_until_ready.ts";

/** Options of {@link createLocalFleet}. */
export interface LocalFleetOptions {
  /** Number of daemons. */
  readonly hosts: number;
  /** Additional published values by path; they override default and created values. */
  readonly values?: Readonly<Record<string, string>>;
  /** Creates all published values except the hosts; replaces the default values. */
  readonly createValues?: (standIns: LocalStandIns) => Readonly<Record<string, string>>;
  /** Models that the engines serve. */
  readonly models?: readonly string[];
  /** Time between two tokens of an engine, in milliseconds. */
  readonly tokenMs?: number;
  /** Number of tokens in a generated response. */
  readonly answerTokens?: number;
  /** Wraps every daemon's client of plain services; tests use it to delay or fail calls. */
  readonly wrapService?: (client: ServiceClient) => ServiceClient;
}

/** Daemons and stand-ins on loopback, in one process. */
export interface LocalFleet {
  /** Daemons by index; a replacement has the index of its predecessor. */
  readonly daemons: readonly LocalDaemon[];
  readonly settingsService: SettingsService;
  readonly engines: readonly Engine[];
  readonly service: PlainService;
  /** API key of the team `planners`. */
  readonly apiKey: string;
  /** Operator token of every daemon. */
  readonly operatorToken: string;
  /** Stops a daemon immediately, as in a crash; it stays published. */
  stopDaemon(index: number): Promise<void>;
  /**
   * Starts a new process incarnation under the host name of the daemon at `index`, on new ports,
   * and publishes it. A daemon that is still running is stopped first, as in a crash.
   */
  replaceDaemon(index: number): Promise<LocalDaemon>;
  close(): Promise<void>;
}

/** Stand-ins that the published values refer to. */
export interface LocalStandIns {
  readonly engines: readonly Engine[];
  readonly service: PlainService;
}

const API_KEY = "planners-local-key";
const OPERATOR_TOKEN = "local-operator-token";
/** Short, so that a graceful shutdown closes its listener quickly. */
const ENTRY_TTL_MS = 500;
const DATA_CENTRES = ["toledo", "detroit", "cleveland", "buffalo"];

/** Starts a local fleet: settings service, two engines, one plain service and the daemons. */
export async function createLocalFleet(options: LocalFleetOptions): Promise<LocalFleet> {
  const engines = await Promise.all([1, 2].map(() =>
    createEngine({
      models: options.models ?? ["plan-70b"],
      ...(options.tokenMs === undefined ? {} : { tokenMs: options.tokenMs }),
      ...(options.answerTokens === undefined ? {} : { answerTokens: options.answerTokens }),
    })
  ));
  const service = await createPlainService();
  const settingsService = await createSettingsService({
    values: {
      ...(options.createValues ?? createValues)({ engines, service }),
      ...options.values,
    },
  });
  const daemons: LocalDaemon[] = [];
  const startDaemon = async (index: number) => {
    const localDaemon = await startLocalDaemon({
      host: `host-${index + 1}`,
      dataCentre: getDataCentre(index),
      settingsUrl: settingsService.url,
      operatorToken: OPERATOR_TOKEN,
      ...(options.wrapService === undefined ? {} : { wrapService: options.wrapService }),
    });
    daemons[index] = localDaemon;
    publishDaemon(settingsService, localDaemon, getDataCentre(index));
    return localDaemon;
  };
  const stopDaemon = async (index: number) => {
    await daemons[index]?.daemon.stop();
  };
  for (let index = 0; index < options.hosts; index++) {
    await startDaemon(index);
  }
  await Promise.all(daemons.map(waitUntilReady));
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
    stopDaemon,
    replaceDaemon: async (index) => {
      await stopDaemon(index);
      const localDaemon = await startDaemon(index);
      await waitUntilReady(localDaemon);
      return localDaemon;
    },
    close,
  };
}

function createValues({ engines, service }: LocalStandIns): Record<string, string> {
  const values: Record<string, string> = {
    "fleet/limits": `entry_ttl_ms = ${ENTRY_TTL_MS}\n`,
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
