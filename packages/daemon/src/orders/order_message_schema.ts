import { z } from "zod";
import { orderOutcomeSchema } from "./order_outcome_schema.ts";

const commonFields = {
  /** Digest of team and idempotency key. */
  key: z.string().max(64),
  /** Attempt that claims the key: `host/incarnation/number`. */
  claim: z.string().max(512),
  /** Digest of method, path and body. */
  digest: z.string().max(64),
  /** Incarnation (process start) that stores the key's record. */
  incarnation: z.string().max(64),
  epoch: z.number().int().nonnegative(),
};

/** Messages from a claimant to a replica. */
export const orderMessageSchema = z.discriminatedUnion("type", [
  z.strictObject({ type: z.literal("claim"), ...commonFields }),
  z.strictObject({ type: z.literal("release"), ...commonFields }),
  z.strictObject({ type: z.literal("record"), ...commonFields, outcome: orderOutcomeSchema }),
]);

/** Message from a claimant to a replica. */
export type OrderMessage = z.infer<typeof orderMessageSchema>;
