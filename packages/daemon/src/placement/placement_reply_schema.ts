import { z } from "zod";

/** Response to a message on the `placement` channel. */
export const placementReplySchema = z.strictObject({
  /** Vote: whether the host promises. */
  isPromised: z.boolean().optional(),
  /** Slot: number of the grant; absent if refused. */
  lease: z.number().int().positive().optional(),
  /** Confirm: settings revision of the responding host. */
  fence: z.number().int().nonnegative().optional(),
  /** Confirm: owner of the engine as the responding host computes it. */
  owner: z.string().optional(),
});

/** Response to a message on the `placement` channel. */
export type PlacementReply = z.infer<typeof placementReplySchema>;
