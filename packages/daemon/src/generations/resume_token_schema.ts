import { z } from "zod";

/** What a resume token names. */
export const resumeTokenSchema = z.strictObject({
  upstream: z.string(),
  generation: z.string(),
  team: z.string(),
  model: z.string(),
});

/** Content of a resume token. */
export type ResumeToken = z.infer<typeof resumeTokenSchema>;
