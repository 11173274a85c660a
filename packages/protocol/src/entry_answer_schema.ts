import { z } from "zod";

/** Response of `GET /v1/entry`; unknown members are ignored. */
export const entryAnswerSchema = z.looseObject({
  /** Host that sent the response. */
  host: z.string(),
  /** Time for which the response may be cached, in milliseconds. */
  ttl_ms: z.number().positive(),
  /** Hosts to use, the preferred one first. */
  addresses: z.array(z.looseObject({
    host: z.string(),
    address: z.string(),
    port: z.number().int(),
    data_centre: z.string(),
    weight: z.number(),
  })),
  /** Prefix of idempotency keys; absent while too few replicas are reachable. */
  key_prefix: z.string().optional(),
});

/** Response of `GET /v1/entry`. */
export type EntryAnswer = z.infer<typeof entryAnswerSchema>;
