import { z } from "zod";
import { orderOutcomeSchema } from "./order_outcome_schema.ts";

/** Replies of a replica to a claimant. */
export const orderReplySchema = z.discriminatedUnion("type", [
  /** The claim holds the key at this replica; no other claim gets it until this one is released. */
  z.strictObject({ type: z.literal("granted") }),
  /** Another claim holds the key, or its outcome is recorded. */
  z.strictObject({
    type: z.literal("taken"),
    claim: z.string(),
    outcome: orderOutcomeSchema.optional(),
  }),
  /** The key was first used for another call; this replica never grants it for this call. */
  z.strictObject({ type: z.literal("mismatch") }),
  /** The claim was released before. */
  z.strictObject({ type: z.literal("withdrawn") }),
  /** The key's record was lost or dropped; this replica never grants the key. */
  z.strictObject({ type: z.literal("expired") }),
  /** The table is full; nothing was stored. */
  z.strictObject({ type: z.literal("full") }),
  /** The duty is being handed over; nothing was stored. */
  z.strictObject({ type: z.literal("moved") }),
  /** A release or record was applied. */
  z.strictObject({ type: z.literal("done") }),
]);

/** Reply of a replica to a claimant. */
export type OrderReply = z.infer<typeof orderReplySchema>;
