import { z } from "zod";

/** Answers on the `orders` channel. */
export const orderReplySchema = z.discriminatedUnion("type", [
  z.strictObject({ type: z.literal("identity"), incarnation: z.string() }),
  z.strictObject({ type: z.literal("granted") }),
  z.strictObject({
    type: z.literal("taken"),
    digest: z.string(),
    outcome: z.strictObject({
      status: z.number().int(),
      headers: z.record(z.string(), z.string()),
      body: z.instanceof(Uint8Array),
    }).optional(),
  }),
  z.strictObject({ type: z.literal("expired") }),
  z.strictObject({ type: z.literal("done") }),
]);

/** Answer on the `orders` channel. */
export type OrderReply = z.infer<typeof orderReplySchema>;
