import type { FastifyInstance } from "fastify";
import type { DaemonContext } from "../common/daemon_context.ts";
import type { Membership } from "../membership/mod.ts";
import type { SettingsView } from "../settings/mod.ts";

/** Options of {@link createEntry}. */
export interface EntryOptions {
  readonly context: Pick<DaemonContext, "config">;
  readonly settings: SettingsView;
  readonly membership: Membership;
  readonly createKeyPrefix: () => Promise<string | undefined>;
}

/** Entry slice: tells callers which hosts to use. */
export interface Entry {
  registerRoutes(server: FastifyInstance): void;
}

/** Creates the entry slice. */
export function createEntry(options: EntryOptions): Entry {
  const { settings, membership, context } = options;
  const listAddresses = () =>
    membership.listLiveHosts().flatMap((name) => {
      const host = settings.getHosts().get(name);
      return host === undefined ? [] : [{
        host: name,
        address: host.address,
        port: host.callerPort,
        data_centre: host.dataCentre,
        weight: host.size,
      }];
    });
  return {
    registerRoutes: (server) => {
      server.get("/v1/entry", async () => ({
        host: context.config.host.name,
        ttl_ms: settings.getFleetLimits().entryTtlMs,
        addresses: listAddresses(),
        key_prefix: await options.createKeyPrefix(),
      }));
    },
  };
}
