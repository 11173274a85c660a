import { z } from "zod";
import { etcdKeyValueSchema } from "./etcd_key_value_schema.ts";

/** Response of the gateway's `POST /v3/kv/range`. */
export const etcdRangeSchema = z.object({
  header: z.object({ revision: z.coerce.number().int().nonnegative() }),
  kvs: z.array(etcdKeyValueSchema).default([]),
});
