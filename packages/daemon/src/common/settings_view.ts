import type {
  FleetLimitsSettings,
  FleetServicesSettings,
  HostSettings,
  ModelSettings,
  TeamAccessSettings,
  TeamKindsSettings,
  TeamServicesSettings,
  UpstreamSettings,
} from "@crocussail/protocol";

/** Accepted settings of one team. */
export interface TeamSettings {
  readonly name: string;
  readonly access: TeamAccessSettings;
  readonly kinds: TeamKindsSettings;
  readonly services: TeamServicesSettings;
}

/** Accepted settings as the other slices read them. */
export interface SettingsView {
  /** Highest revision in force. */
  getRevision(): number;
  /** Revision of the accepted value at one path, or 0. */
  getPathRevision(path: string): number;
  getHosts(): ReadonlyMap<string, HostSettings>;
  getUpstreams(): ReadonlyMap<string, UpstreamSettings>;
  getModels(): ReadonlyMap<string, ModelSettings>;
  getFleetLimits(): FleetLimitsSettings;
  getFleetServices(): FleetServicesSettings;
  getTeam(name: string): TeamSettings | undefined;
  listTeams(): readonly string[];
  /** Finds the team that owns the API key with this SHA-256, in constant time for each key. */
  findTeamByKeyHash(sha256: string): string | undefined;
  /** Calls `listener` after every change; returns a function that ends the subscription. */
  subscribe(listener: () => void): () => void;
}
