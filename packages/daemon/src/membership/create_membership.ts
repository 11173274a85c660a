import type { DaemonContext } from "../common/daemon_context.ts";
import type { SettingsView } from "../settings/mod.ts";

/** Options of {@link createMembership}. */
export interface MembershipOptions {
  readonly context: Pick<DaemonContext, "config">;
  readonly settings: SettingsView;
}

/** Membership slice: which hosts are believed live. */
export interface Membership {
  /** Names of the hosts believed live, sorted; includes this host. */
  listLiveHosts(): readonly string[];
  isLive(host: string): boolean;
  start(): void;
  stop(): void;
  dumpState(): unknown;
}

/** Creates the membership slice. */
export function createMembership(options: MembershipOptions): Membership {
  const listLiveHosts = () =>
    [...options.settings.getHosts()]
      .filter(([, host]) => host.state === "live")
      .map(([name]) => name)
      .sort();
  return {
    listLiveHosts,
    isLive: (host) => listLiveHosts().includes(host),
    start: () => {},
    stop: () => {},
    dumpState: () => ({ live: listLiveHosts() }),
  };
}
