import { createProcessDaemon, resolveDaemonConfig } from "@crocussail/daemon";
import type { ServiceClient } from "@crocussail/daemon";
import { formatDaemonSettings } from "./format_daemon_settings.ts";
import type { DaemonSettingsParts } from "./format_daemon_settings.ts";
import type { LocalDaemon } from "./local_daemon.ts";

/** Options of {@link startLocalDaemon}. */
export interface LocalDaemonOptions extends DaemonSettingsParts {
  readonly wrapService?: (client: ServiceClient) => ServiceClient;
}

const LOG_LEVEL_WARN = 1;

/** Starts one daemon on free loopback ports. */
export async function startLocalDaemon(options: LocalDaemonOptions): Promise<LocalDaemon> {
  const { wrapService, ...parts } = options;
  const source = { file: `${parts.host}.ini`, text: formatDaemonSettings(parts) };
  const config = resolveDaemonConfig(source).unsafeCoerce();
  const daemon = createProcessDaemon(config, {
    logLevel: LOG_LEVEL_WARN,
    ...(wrapService === undefined ? {} : { wrapService }),
  });
  const ports = await daemon.start();
  return { daemon, ports, url: `http://127.0.0.1:${ports.caller}` };
}
