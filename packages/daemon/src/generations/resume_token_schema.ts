import { z } from "zod";

/** What a resume token names; it does not expire. */
export const resumeTokenSchema = z.strictObject({
  upstream: z.string(),
  generation: z.string(),
  team: z.string(),
  model: z.string(),
  /** Host that began the stream and holds its admission grant. */
  host: z.string(),
  api: z.enum(["chat", "completion"]),
  /** Tokens of the prompt, for the usage counts. */
  promptTokens: z.number().int().nonnegative(),
});

/** Content of a resume token. */
export type ResumeToken = z.infer<typeof resumeTokenSchema>;
