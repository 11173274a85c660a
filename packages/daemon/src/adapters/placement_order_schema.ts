import { z } from "zod";
import { placementCopySchema } from "./placement_copy_schema.ts";

/**
 * Placement order to an engine. `load`: fetch the model from the weight store and check it;
 * `serve`: send the model's requests to this copy, in this role; `keep`: only accept the fencing
 * token; `unload`: remove the copy.
 */
export const placementOrderSchema = placementCopySchema.extend({
  kind: z.enum(["load", "serve", "keep", "unload"]),
  /** Fencing token: the settings revision that the order was derived from. */
  fence: z.number().int().nonnegative(),
});

/** Placement order to an engine. */
export type PlacementOrder = Readonly<z.infer<typeof placementOrderSchema>>;
