import type { DaemonConfig } from "./daemon_config_schema.ts";

/** Frozen settings of one daemon, computed once at its start. */
export type ResolvedDaemonConfig = Readonly<DaemonConfig> & {
  /** Keys accepted in signatures; the first one signs. */
  readonly fleetKeys: readonly [string, ...string[]];
};
