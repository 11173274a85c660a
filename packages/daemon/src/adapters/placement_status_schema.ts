import { z } from "zod";
import { placementCopySchema } from "./placement_copy_schema.ts";

/** What an engine reports about the copies it holds. */
export const placementStatusSchema = z.object({
  /** Highest fencing number of an order taken; engines that do not check may report 0. */
  fence: z.number().int().nonnegative(),
  /** Largest number of copies held at once. */
  capacity: z.number().int().positive(),
  copies: z.array(placementCopySchema.extend({
    /** `failed`: the ready check of a loaded copy failed. */
    state: z.enum(["loading", "ready", "failed"]),
    /** Whether requests for the model go to this copy. */
    isServing: z.boolean(),
  })).max(64),
});

/** What an engine reports about the copies it holds. */
export type PlacementStatus = z.infer<typeof placementStatusSchema>;
