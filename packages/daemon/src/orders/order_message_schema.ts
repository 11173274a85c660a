import { z } from "zod";
import { orderOutcomeSchema } from "./order_outcome_schema.ts";

const keyed = {
  /** Digest of team and idempotency key. */
  key: z.string().max(64),
  /** Attempt that claims the key: `host/incarnation/number`. */
  claim: z.string().max(512),
  /** Digest of method, path and body. */
  digest: z.string().max(64),
  /** Process start whose memory guards the key. */
  incarnation: z.string().max(64),
  epoch: z.number().int().nonnegative(),
};

/** Messages of a claimant to a replica. */
export const orderMessageSchema = z.discriminatedUnion("type", [
  z.strictObject({ type: z.literal("claim"), ...keyed }),
  z.strictObject({ type: z.literal("release"), ...keyed }),
  z.strictObject({ type: z.literal("record"), ...keyed, outcome: orderOutcomeSchema }),
]);

/** Message of a claimant to a replica. */
export type OrderMessage = z.infer<typeof orderMessageSchema>;
