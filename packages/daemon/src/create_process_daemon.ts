import { createConsolaLogger } from "./adapters/create_consola_logger.ts";
import { createEtcdSettingsSource } from "./adapters/create_etcd_settings_source.ts";
import { createHttpEngineClient } from "./adapters/create_http_engine_client.ts";
import { createHttpLoadClient } from "./adapters/create_http_load_client.ts";
import { createHttpPlacementClient } from "./adapters/create_http_placement_client.ts";
import { createHttpServiceClient } from "./adapters/create_http_service_client.ts";
import { createNullMetrics } from "./adapters/create_null_metrics.ts";
import { readCpuMs } from "./adapters/read_cpu_ms.ts";
import { createProcessUsageReader } from "./adapters/create_process_usage_reader.ts";
import { createStatsdMetrics } from "./adapters/create_statsd_metrics.ts";
import { createSystemClock } from "./adapters/create_system_clock.ts";
import { createSystemRandom } from "./adapters/create_system_random.ts";
import type { ServiceClient } from "./adapters/service_client.ts";
import type { ResolvedDaemonConfig } from "./config/mod.ts";
import { createDaemon } from "./create_daemon.ts";
import type { Daemon } from "./create_daemon.ts";
import type { TlsMaterial } from "./http/mod.ts";

/** Options of {@link createProcessDaemon}. */
export interface ProcessDaemonOptions {
  /** Least severe log level that is written, as a consola level number; 3 is info. */
  readonly logLevel?: number;
  /** Wraps the client of plain services; tests use it to delay or fail calls. */
  readonly wrapService?: (client: ServiceClient) => ServiceClient;
  /** Areas whose debug events are written, for example `orders`. */
  readonly debugAreas?: readonly string[];
  /** Certificate and key of the callers' listener. */
  readonly tls?: TlsMaterial;
}

/** Creates a daemon with the system clock, network and logger. */
export function createProcessDaemon(
  config: ResolvedDaemonConfig,
  options: ProcessDaemonOptions = {},
): Daemon {
  const clock = createSystemClock();
  const { host, metrics } = config;
  const { wrapService = (client) => client } = options;
  return createDaemon({
    config,
    clock,
    random: createSystemRandom(),
    logger: createConsolaLogger({
      clock,
      host: host.name,
      ...(options.logLevel === undefined ? {} : { level: options.logLevel }),
      ...(options.debugAreas === undefined ? {} : { debugAreas: options.debugAreas }),
    }),
    metrics: metrics === undefined
      ? createNullMetrics()
      : createStatsdMetrics({ ...metrics, tags: { host: host.name } }),
    settingsSource: createEtcdSettingsSource({ urls: config.settingsService.urls }),
    engine: createHttpEngineClient(),
    load: createHttpLoadClient(),
    service: wrapService(createHttpServiceClient()),
    placementClient: createHttpPlacementClient(),
    readUsage: createProcessUsageReader(),
    readCpuMs,
    ...(options.tls === undefined ? {} : { tls: options.tls }),
  });
}
