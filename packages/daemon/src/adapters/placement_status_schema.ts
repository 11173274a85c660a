import { z } from "zod";
import { placementCopySchema } from "./placement_copy_schema.ts";

/** Report of an engine about the model copies that it holds. */
export const placementStatusSchema = z.object({
  /** Highest fencing token of an accepted order; engines that do not check it may report 0. */
  fence: z.number().int().nonnegative(),
  /** Largest number of copies held at once. */
  capacity: z.number().int().positive(),
  copies: z.array(placementCopySchema.extend({
    /** `failed`: the readiness check of a loaded copy failed. */
    state: z.enum(["loading", "ready", "failed"]),
    /** Whether requests for the model are sent to this copy. */
    isServing: z.boolean(),
  })).max(64),
});

/** Report of an engine about the model copies that it holds. */
export type PlacementStatus = z.infer<typeof placementStatusSchema>;
