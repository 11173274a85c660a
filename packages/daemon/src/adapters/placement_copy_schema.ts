import { z } from "zod";

/** Model, version, adapters and role of one model copy on an engine. */
export const placementCopySchema = z.object({
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()),
  role: z.string(),
});

/** Model, version, adapters and role of one model copy on an engine. */
export type PlacementCopy = Readonly<z.infer<typeof placementCopySchema>>;
