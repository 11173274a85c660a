import { z } from "zod";
import { commaListSchema } from "./comma_list_schema.ts";

/** Value at `teams/<team>/services`: one INI section for each plain service a team may call. */
export const teamServicesSchema = z.record(
  z.string(),
  z.strictObject({
    /**
     * Non-repeatable calls, as `METHOD /path`; a `*` at the end of a path matches any suffix.
     * Added to those stated for the service in `fleet/services`.
     */
    nonRepeatable: commaListSchema.default([]),
    deadlineMs: z.coerce.number().int().positive().default(10_000),
  }),
);

/** Services of a team by name. */
export type TeamServicesSettings = z.infer<typeof teamServicesSchema>;
