import { z } from "zod";
import { commaListSchema } from "./comma_list_schema.ts";

/** Value at `fleet/services`: one INI section for each plain service. */
export const fleetServicesSchema = z.record(
  z.string(),
  z.strictObject({
    /** Non-repeatable calls, as `METHOD /path`; a `*` at the end of a path matches any suffix. */
    nonRepeatable: commaListSchema.default([]),
  }),
);

/** Plain services of the fleet by name. */
export type FleetServicesSettings = z.infer<typeof fleetServicesSchema>;
