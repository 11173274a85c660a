import { z } from "zod";

/** Messages between the host that began a stream and the host that resumes it. */
export const handoverMessageSchema = z.discriminatedUnion("type", [
  z.object({
    type: z.literal("resumed"),
    generation: z.string().max(64),
    team: z.string().max(256),
  }),
  z.object({
    type: z.literal("ended"),
    generation: z.string().max(64),
    team: z.string().max(256),
    outcome: z.enum(["finished", "cancelled", "lost", "notRun"]),
    tokens: z.number().int().nonnegative(),
  }),
]);

/** Message of a handover. */
export type HandoverMessage = z.infer<typeof handoverMessageSchema>;
