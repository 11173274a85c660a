import { z } from "zod";

const countSchema = z.number().nonnegative();
const waitsSchema = z.strictObject({ urgentMs: countSchema, otherMs: countSchema });

/** Reply of an owner to `ask`. */
export const admissionReplySchema = z.discriminatedUnion("type", [
  z.strictObject({ type: z.literal("grant"), waits: waitsSchema }),
  z.strictObject({
    type: z.literal("place"),
    position: countSchema,
    expectedWaitMs: countSchema,
    waits: waitsSchema,
  }),
  z.strictObject({
    type: z.literal("refuse"),
    reason: z.enum(["late", "full", "leaving", "tooLarge"]),
    retryAfterMs: countSchema,
    waits: waitsSchema,
  }),
]);

/** Reply of an owner to `ask`. */
export type AdmissionReply = z.infer<typeof admissionReplySchema>;
