import type { DaemonConfig } from "./daemon_config_schema.ts";

/** Frozen settings of one daemon, computed once at startup. */
export type ResolvedDaemonConfig = Readonly<DaemonConfig> & {
  /** Keys accepted for signature verification; the first one is used for signing. */
  readonly fleetKeys: readonly [string, ...string[]];
};
