import { z } from "zod";

const MAX_CACHE_EVENTS = 10_000;
const MAX_PREFIX_LENGTH = 256;
const countSchema = z.number().nonnegative();

/** Responses of an engine about its load and its prefix cache. */
export const loadRecordSchemas = {
  load: z.object({
    running: countSchema,
    waiting: countSchema,
    used_tokens: countSchema,
    capacity_tokens: z.number().positive(),
    preemptions: countSchema,
    leaving: z.boolean(),
  }),
  cacheEvents: z.object({
    events: z.array(z.object({
      sequence: z.number().int().positive(),
      type: z.enum(["stored", "removed"]),
      prefix: z.string().max(MAX_PREFIX_LENGTH),
    })).max(MAX_CACHE_EVENTS),
  }),
} as const;

/** Load reported by an engine: KV cache in tokens, preemptions since the engine started. */
export type LoadRecord = z.infer<typeof loadRecordSchemas.load>;
/** One change of an engine's prefix cache. */
export type CacheEventRecord = z.infer<typeof loadRecordSchemas.cacheEvents>["events"][number];
