import type { SettingsService } from "@crocussail/stand_ins";
import { formatHostValue } from "./format_host_value.ts";
import type { LocalDaemon } from "./local_daemon.ts";

/** Publishes a daemon's ports on the list of hosts. */
export function publishDaemon(
  settingsService: SettingsService,
  started: LocalDaemon,
  dataCentre: string,
): void {
  const value = formatHostValue({ ports: started.ports, dataCentre });
  settingsService.putValue(`hosts/${started.daemon.host}`, value);
}
