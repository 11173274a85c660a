import { fleetLimitsSchema } from "@crocussail/protocol";
import type {
  FleetLimitsSettings,
  FleetServicesSettings,
  HostSettings,
  ModelSettings,
  TeamAccessSettings,
  TeamKeysSettings,
  UpstreamSettings,
} from "@crocussail/protocol";
import { Buffer } from "node:buffer";
import { timingSafeEqual } from "node:crypto";
import type { SettingsState } from "./settings_state.ts";
import type { SettingsView } from "./settings_view.ts";

/** Creates a read-only view of a settings map. */
export function createSettingsView(
  state: SettingsState,
  subscribe: SettingsView["subscribe"],
): SettingsView {
  const getValue = <Value>(path: string) => state.get(path)?.value as Value | undefined;
  const listBelow = <Value>(prefix: string) =>
    new Map(
      [...state]
        .filter(([path, entry]) => path.startsWith(prefix) && entry.value !== undefined)
        .map(([path, entry]) => [path.slice(prefix.length), entry.value as Value]),
    );
  const listTeams = () =>
    [...listBelow<TeamAccessSettings>("teams/").keys()]
      .filter((path) => path.endsWith("/access"))
      .map((path) => path.slice(0, -"/access".length));
  return {
    getRevision: () => Math.max(0, ...[...state.values()].map((entry) => entry.acceptedRevision)),
    getPathRevision: (path) => state.get(path)?.acceptedRevision ?? 0,
    getHosts: () => listBelow<HostSettings>("hosts/"),
    getUpstreams: () => listBelow<UpstreamSettings>("upstreams/"),
    getModels: () => listBelow<ModelSettings>("models/"),
    getFleetLimits: () =>
      getValue<FleetLimitsSettings>("fleet/limits") ?? fleetLimitsSchema.parse({}),
    getFleetServices: () => getValue<FleetServicesSettings>("fleet/services") ?? {},
    getTeam: (name) => {
      const access = getValue<TeamAccessSettings>(`teams/${name}/access`);
      return access === undefined ? undefined : {
        name,
        access,
        kinds: getValue(`teams/${name}/kinds`) ?? {},
        services: getValue(`teams/${name}/services`) ?? {},
      };
    },
    listTeams,
    findTeamByKeyHash: (sha256) =>
      listTeams().find((team) => {
        const keys = getValue<TeamKeysSettings>(`teams/${team}/keys`) ?? {};
        return Object.values(keys).some((key) => isEqualHash(key.sha256, sha256));
      }),
    subscribe,
  };
}

function isEqualHash(left: string, right: string): boolean {
  const wanted = Buffer.from(left);
  const given = Buffer.from(right);
  return wanted.length === given.length && timingSafeEqual(wanted, given);
}
