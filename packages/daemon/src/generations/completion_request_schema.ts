import { z } from "zod";

/** Body of `POST /v1/completions`; unused members are ignored. */
export const completionRequestSchema = z.object({
  model: z.string().min(1).max(256),
  prompt: z.union([z.string(), z.tuple([z.string()]).transform(([prompt]) => prompt)]),
  max_tokens: z.number().int().positive().optional(),
  stream: z.boolean().default(false),
  /** Only one choice for each request is supported. */
  n: z.literal(1).optional(),
});
