import { z } from "zod";
import { ORDER_LIMITS } from "./constants.ts";
import { orderOutcomeSchema } from "./order_outcome_schema.ts";

const count = z.number().int().nonnegative();
const recordSchema = z.strictObject({
  digest: z.string().max(64),
  holder: z.string().max(512),
  withdrawn: z.array(z.string().max(512)).max(ORDER_LIMITS.maxWithdrawnClaims),
  outcome: orderOutcomeSchema.optional(),
});

/** Messages from a draining replica to the successor of one duty. */
export const adoptionMessageSchema = z.discriminatedUnion("type", [
  z.strictObject({
    type: z.literal("stage"),
    transfer: z.string().max(64),
    incarnation: z.string().max(64),
    host: z.string().max(128),
    epoch: count,
    oldestEpoch: count,
    frame: count,
    records: z.array(
      z.strictObject({ epoch: count, key: z.string().max(64), record: recordSchema }),
    )
      .max(ORDER_LIMITS.transferRecords),
  }),
  z.strictObject({
    type: z.literal("commit"),
    transfer: z.string().max(64),
    incarnation: z.string().max(64),
    frames: count,
  }),
]);

/** Message from a draining replica to its successor, with all its fields as they are sent. */
export type AdoptionTransfer = z.infer<typeof adoptionMessageSchema>;
