import { z } from "zod";
import { etcdKeyValueSchema } from "./etcd_key_value_schema.ts";

/** One line of the gateway's `POST /v3/watch` stream. */
export const etcdWatchSchema = z.object({
  result: z.object({
    header: z.object({ revision: z.coerce.number().int().nonnegative() }),
    /** Set if the service ends the watch. */
    canceled: z.boolean().default(false),
    cancel_reason: z.string().default(""),
    /** Oldest revision that is still available, if the requested one is older. */
    compact_revision: z.coerce.number().int().default(0),
    events: z.array(z.object({
      type: z.enum(["PUT", "DELETE"]).optional(),
      kv: etcdKeyValueSchema,
    })).default([]),
  }),
});
