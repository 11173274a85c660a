import { z } from "zod";

/** Answer of `GET /v1/entry`; members that this version does not know are ignored. */
export const entryAnswerSchema = z.looseObject({
  /** Host that answered. */
  host: z.string(),
  /** Time for which the answer may be kept, in milliseconds. */
  ttl_ms: z.number().positive(),
  /** Hosts to use, the preferred one first. */
  addresses: z.array(z.looseObject({
    host: z.string(),
    address: z.string(),
    port: z.number().int(),
    data_centre: z.string(),
    weight: z.number(),
  })),
  /** Prefix of idempotency keys; absent while too few replicas can be reached. */
  key_prefix: z.string().optional(),
});

/** Answer of `GET /v1/entry`. */
export type EntryAnswer = z.infer<typeof entryAnswerSchema>;
