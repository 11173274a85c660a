import { z } from "zod";
import { commaListSchema } from "./comma_list_schema.ts";

/** Value at `fleet/services`: one INI section for each plain service. */
export const fleetServicesSchema = z.record(
  z.string(),
  z.strictObject({
    /** Calls that may not repeat, as `METHOD /path`; `*` at the end of a path matches any rest. */
    nonRepeatable: commaListSchema.default([]),
  }),
);

/** Plain services of the fleet by name. */
export type FleetServicesSettings = z.infer<typeof fleetServicesSchema>;
