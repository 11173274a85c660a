import { z } from "zod";

/**
 * Messages about streams that are resumed on another host: `resumed` and `ended` are sent to the
 * host that started the stream, `superseded` to the host that relayed it last.
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
