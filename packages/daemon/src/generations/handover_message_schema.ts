import { z } from "zod";

/**
 * Messages about streams that move between hosts: `resumed` and `ended` go to the host that began
 * the stream, `superseded` to the host that relayed it last.
 */
export const handoverMessageSchema = z.discriminatedUnion("type", [
  z.object({
    type: z.literal("resumed"),
    generation: z.string().max(64),
    team: z.string().max(256),
  }),
  z.object({
    type: z.literal("superseded"),
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
