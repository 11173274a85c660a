import { z } from "zod";

/** Reply to `identify`: incarnation (process start) and epoch of a host. */
export const identityReplySchema = z.strictObject({
  type: z.literal("identity"),
  incarnation: z.string().max(64),
  epoch: z.number().int().nonnegative(),
});
