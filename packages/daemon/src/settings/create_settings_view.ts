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
import { createTeamKeyIndex } from "./create_team_key_index.ts";
import type { SettingsState } from "./settings_state.ts";
import type { SettingsView, TeamSettings } from "../common/settings_view.ts";

const DEFAULT_LIMITS = Object.freeze(fleetLimitsSchema.parse({}));

/** Creates a read-only view of the settings state; its maps are rebuilt only after a change. */
export function createSettingsView(
  state: SettingsState,
  subscribe: SettingsView["subscribe"],
): SettingsView {
  const getValue = <Value>(path: string) =>
    state.getEntry(path)?.accepted?.value as
      | Value
      | undefined;
  const listSection = <Value>(section: string): ReadonlyMap<string, Value> => {
    const prefix = `${section}/`;
    const found: [string, Value][] = [];
    for (const { newest, accepted } of state.listEntries()) {
      if (newest.path.startsWith(prefix) && accepted?.value !== undefined) {
        found.push([newest.path.slice(prefix.length), accepted.value as Value]);
      }
    }
    return new Map(found.sort(([left], [right]) => left < right ? -1 : 1));
  };
  /** Returns a getter that rebuilds its cached value only after the section has changed. */
  const createCache = <Value>(section: string, build: () => Value): () => Value => {
    let cached: { version: number; value: Value } | undefined;
    return () => {
      const version = state.getSectionVersion(section);
      if (cached?.version !== version) {
        cached = { version, value: build() };
      }
      return cached.value;
    };
  };

  const getTeamIndex = createCache("teams", () => {
    const values = listSection<unknown>("teams");
    const teams = new Map<string, TeamSettings>();
    const keys = new Map<string, TeamKeysSettings>();
    for (const [path, value] of values) {
      const [name, part] = path.split("/") as [string, string];
      if (part === "access") {
        teams.set(name, {
          name,
          access: value as TeamAccessSettings,
          kinds: (values.get(`${name}/kinds`) ?? {}) as TeamSettings["kinds"],
          services: (values.get(`${name}/services`) ?? {}) as TeamSettings["services"],
        });
        keys.set(name, (values.get(`${name}/keys`) ?? {}) as TeamKeysSettings);
      }
    }
    return { teams, names: [...teams.keys()], keys: createTeamKeyIndex(keys) };
  });

  return {
    getRevision: state.getRevision,
    getPathRevision: (path) => state.getEntry(path)?.accepted?.update.revision ?? 0,
    getHosts: createCache("hosts", () => listSection<HostSettings>("hosts")),
    getUpstreams: createCache("upstreams", () => listSection<UpstreamSettings>("upstreams")),
    getModels: createCache("models", () => listSection<ModelSettings>("models")),
    getFleetLimits: () => getValue<FleetLimitsSettings>("fleet/limits") ?? DEFAULT_LIMITS,
    getFleetServices: () => getValue<FleetServicesSettings>("fleet/services") ?? {},
    getTeam: (name) => getTeamIndex().teams.get(name),
    listTeams: () => getTeamIndex().names,
    findTeamByKeyHash: (sha256) => getTeamIndex().keys.findTeam(sha256),
    subscribe,
  };
}
