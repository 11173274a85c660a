import { z } from "zod";
import { commaListSchema } from "./comma_list_schema.ts";

/** Value at `teams/<team>/access`: what a team may use. */
export const teamAccessSchema = z.strictObject({
  models: commaListSchema.default([]),
  adapters: commaListSchema.default([]),
  versions: commaListSchema.default([]),
  /** Share of capacity relative to other teams. */
  weight: z.coerce.number().positive().max(1000).default(1),
  /** Largest number of generations of this team running or queued on one daemon. */
  maxStreams: z.coerce.number().int().positive().default(256),
});

/** Access rights of a team. */
export type TeamAccessSettings = z.infer<typeof teamAccessSchema>;
