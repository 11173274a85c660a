import { z } from "zod";

/** Value at `teams/<team>/kinds`: one INI section for each kind of work. */
export const teamKindsSchema = z.record(
  z.string(),
  z.strictObject({
    /** 0 is the most urgent class. */
    urgency: z.coerce.number().int().min(0).max(9).default(5),
    /** Deadline for the complete response, in milliseconds. */
    deadlineMs: z.coerce.number().int().positive().default(60_000),
    /** Target time to the first token, in milliseconds. */
    firstTokenMs: z.coerce.number().int().positive().default(1_200),
    /** Target time between tokens, in milliseconds. */
    tokenGapMs: z.coerce.number().int().positive().default(37),
  }),
);

/** Kinds of work of a team by name. */
export type TeamKindsSettings = z.infer<typeof teamKindsSchema>;
