import { z } from "zod";
import { etcdKeyValueSchema } from "./etcd_key_value_schema.ts";

/** One line of the gateway's `POST /v3/watch` stream. */
export const etcdWatchSchema = z.object({
  result: z.object({
    header: z.object({ revision: z.coerce.number().int() }),
    events: z.array(z.object({
      type: z.enum(["PUT", "DELETE"]).optional(),
      kv: etcdKeyValueSchema,
    })).default([]),
  }),
});
