import { z } from "zod";
import { placementCopySchema } from "./placement_copy_schema.ts";

/**
 * Order to an engine. `load`: fetch from the weight store and check; `serve`: send the model's
 * requests to this copy, in this role; `keep`: change nothing but take the fencing number;
 * `unload`: drop the copy.
 */
export const placementOrderSchema = placementCopySchema.extend({
  kind: z.enum(["load", "serve", "keep", "unload"]),
  /** Settings revision that the order was derived from. */
  fence: z.number().int().nonnegative(),
});

/** Order to an engine. */
export type PlacementOrder = Readonly<z.infer<typeof placementOrderSchema>>;
