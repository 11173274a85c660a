import { z } from "zod";

/** Body of `POST /v1/chat/completions`; members that the system does not use are ignored. */
export const chatRequestSchema = z.object({
  model: z.string().min(1).max(256),
  messages: z.array(z.object({ role: z.string().max(64), content: z.string() })).min(1).max(10_000),
  max_tokens: z.number().int().positive().optional(),
  stream: z.boolean().default(false),
});

/** Chat completion request. */
export type ChatRequest = z.infer<typeof chatRequestSchema>;
