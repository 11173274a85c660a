import type { SettingsService } from "@crocussail/stand_ins";
import { formatHostValue } from "./format_host_value.ts";
import type { LocalDaemon } from "./local_daemon.ts";

/** Publishes a daemon's address and ports under the settings path of its host. */
export function publishDaemon(
  settingsService: SettingsService,
  localDaemon: LocalDaemon,
  dataCentre: string,
): void {
  const value = formatHostValue({ ports: localDaemon.ports, dataCentre });
  settingsService.putValue(`hosts/${localDaemon.daemon.host}`, value);
}
