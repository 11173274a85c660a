import { z } from "zod";

/** Answer to `identify`: the process start of a host and its epoch. */
export const identityReplySchema = z.strictObject({
  type: z.literal("identity"),
  incarnation: z.string().max(64),
  epoch: z.number().int().nonnegative(),
});
