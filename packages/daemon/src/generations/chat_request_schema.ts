import { z } from "zod";

const contentSchema = z.union([
  z.string(),
  z.array(z.object({ type: z.literal("text"), text: z.string() })).max(1_000)
    .transform((parts) => parts.map((part) => part.text).join("")),
]);

/** Body of `POST /v1/chat/completions`; unused members are ignored. */
export const chatRequestSchema = z.object({
  model: z.string().min(1).max(256),
  messages: z.array(z.object({ role: z.string().max(64), content: contentSchema }))
    .min(1).max(10_000),
  max_tokens: z.number().int().positive().optional(),
  max_completion_tokens: z.number().int().positive().optional(),
  stream: z.boolean().default(false),
  /** Only one choice for each request is supported. */
  n: z.literal(1).optional(),
});

/** Chat completion request. */
export type ChatRequest = z.infer<typeof chatRequestSchema>;
