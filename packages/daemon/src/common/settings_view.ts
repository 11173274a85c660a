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

/** Read access to the accepted settings, for other modules. */
export interface SettingsView {
  /** Highest accepted revision. */
  getRevision(): number;
  /** Revision of the accepted value at one path; 0 if there is none. */
  getPathRevision(path: string): number;
  getHosts(): ReadonlyMap<string, HostSettings>;
  getUpstreams(): ReadonlyMap<string, UpstreamSettings>;
  getModels(): ReadonlyMap<string, ModelSettings>;
  getFleetLimits(): FleetLimitsSettings;
  getFleetServices(): FleetServicesSettings;
  getTeam(name: string): TeamSettings | undefined;
  listTeams(): readonly string[];
  /** Finds the team whose API key has this SHA-256; each comparison takes constant time. */
  findTeamByKeyHash(sha256: string): string | undefined;
  /** Calls `listener` after every change; returns a function that ends the subscription. */
  subscribe(listener: () => void): () => void;
}
