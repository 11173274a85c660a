import type { z } from "zod";
import { fleetLimitsSchema } from "./fleet_limits_schema.ts";
import { fleetServicesSchema } from "./fleet_services_schema.ts";
import { hostSchema } from "./host_schema.ts";
import { modelSchema } from "./model_schema.ts";
import { teamAccessSchema } from "./team_access_schema.ts";
import { teamKeysSchema } from "./team_keys_schema.ts";
import { teamKindsSchema } from "./team_kinds_schema.ts";
import { teamServicesSchema } from "./team_services_schema.ts";
import { upstreamSchema } from "./upstream_schema.ts";

/** One pattern of settings paths and the schema of values under it. */
export interface SettingsSchemaEntry {
  /** Path with `*` for one segment. */
  readonly pattern: string;
  readonly schema: z.ZodType;
}

/** Schemas of every path that a settings tree may hold. */
export const SETTINGS_SCHEMAS: readonly SettingsSchemaEntry[] = [
  { pattern: "fleet/limits", schema: fleetLimitsSchema },
  { pattern: "fleet/services", schema: fleetServicesSchema },
  { pattern: "hosts/*", schema: hostSchema },
  { pattern: "upstreams/*", schema: upstreamSchema },
  { pattern: "models/*", schema: modelSchema },
  { pattern: "teams/*/access", schema: teamAccessSchema },
  { pattern: "teams/*/kinds", schema: teamKindsSchema },
  { pattern: "teams/*/services", schema: teamServicesSchema },
  { pattern: "teams/*/keys", schema: teamKeysSchema },
];
