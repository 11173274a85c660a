import { z } from "zod";

/** Content of a resume token; the token does not expire. */
export const resumeTokenSchema = z.strictObject({
  upstream: z.string(),
  generation: z.string(),
  team: z.string(),
  model: z.string(),
  /** Host that started the stream and holds its admission grant. */
  host: z.string(),
  api: z.enum(["chat", "completion"]),
  /** Number of prompt tokens, for the reported usage. */
  promptTokens: z.number().int().nonnegative(),
});

/** Validated content of a resume token. */
export type ResumeToken = z.infer<typeof resumeTokenSchema>;
