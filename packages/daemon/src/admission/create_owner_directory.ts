import type { Membership } from "../membership/mod.ts";
import type { SettingsView } from "../settings/mod.ts";
import { findOwner } from "./find_owner.ts";

/** Caches the admission owner of each upstream for the current membership view. */
export interface OwnerDirectory {
  findOwner(upstream: string): string | undefined;
  /** Clears the cache when the set of live hosts has changed since the last call. */
  refreshView(): void;
}

/** Creates the directory, which caches only upstreams that the settings publish. */
export function createOwnerDirectory(options: {
  readonly settings: SettingsView;
  readonly membership: Pick<Membership, "listLiveHosts">;
}): OwnerDirectory {
  const { settings, membership } = options;
  const owners = new Map<string, string | undefined>();
  let previousHosts = "";
  settings.subscribe(() => owners.clear());

  return {
    findOwner: (upstream) => {
      if (owners.has(upstream)) {
        return owners.get(upstream);
      }
      const published = settings.getUpstreams().get(upstream);
      if (published === undefined) {
        return undefined;
      }
      const hosts = settings.getHosts();
      const candidates = membership.listLiveHosts()
        .map((host) => ({ host, dataCentre: hosts.get(host)?.dataCentre }));
      const owner = findOwner(upstream, published.dataCentre, candidates);
      owners.set(upstream, owner);
      return owner;
    },
    refreshView: () => {
      const hosts = membership.listLiveHosts().join("\0");
      if (hosts !== previousHosts) {
        previousHosts = hosts;
        owners.clear();
      }
    },
  };
}
