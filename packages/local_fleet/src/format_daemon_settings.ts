/** Values that vary between the settings files of local daemons. */
export interface DaemonSettingsParts {
  readonly host: string;
  readonly dataCentre: string;
  readonly settingsUrl: string;
  readonly operatorToken: string;
  readonly fleetKey?: string;
}

const DEFAULT_FLEET_KEY = "local-fleet-key-for-one-machine-only";

/** Renders the settings file of a daemon that listens on free loopback ports. */
export function formatDaemonSettings(parts: DaemonSettingsParts): string {
  return `[host]
name = ${parts.host}
data_centre = ${parts.dataCentre}

[listen]
address = 127.0.0.1
caller_port = 0
peer_port = 0
operator_port = 0

[settings_service]
urls = ${parts.settingsUrl}

[fleet]
key = ${parts.fleetKey ?? DEFAULT_FLEET_KEY}

[operator]
token = ${parts.operatorToken}
`;
}
