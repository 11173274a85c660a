import { z } from "zod";

const outcomeSchema = z.strictObject({
  status: z.number().int(),
  headers: z.record(z.string(), z.string()),
  body: z.instanceof(Uint8Array),
});

/** Requests on the `orders` channel. */
export const orderMessageSchema = z.discriminatedUnion("type", [
  z.strictObject({ type: z.literal("identify") }),
  z.strictObject({
    type: z.literal("claim"),
    key: z.string().max(1024),
    claim: z.string(),
    digest: z.string(),
    incarnation: z.string(),
  }),
  z.strictObject({ type: z.literal("release"), key: z.string().max(1024), claim: z.string() }),
  z.strictObject({
    type: z.literal("record"),
    key: z.string().max(1024),
    claim: z.string(),
    outcome: outcomeSchema,
  }),
]);

/** Request on the `orders` channel. */
export type OrderMessage = z.infer<typeof orderMessageSchema>;
