import { z } from "zod";

/** Answer to a message on the `placement` channel. */
export const placementReplySchema = z.strictObject({
  /** Vote: whether the promise is given. */
  isPromised: z.boolean().optional(),
  /** Slot: number of the grant; absent when refused. */
  lease: z.number().int().positive().optional(),
  /** Confirm: settings revision of the answering host. */
  fence: z.number().int().nonnegative().optional(),
  /** Confirm: owner of the engine as the answering host sees it. */
  owner: z.string().optional(),
});

/** Answer to a message on the `placement` channel. */
export type PlacementReply = z.infer<typeof placementReplySchema>;
