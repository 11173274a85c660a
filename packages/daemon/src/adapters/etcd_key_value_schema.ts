import { z } from "zod";

/** Key and value as the etcd v3 JSON gateway encodes them: base64 and decimal strings. */
export const etcdKeyValueSchema = z.object({
  key: z.string(),
  value: z.string().default(""),
  mod_revision: z.coerce.number().int(),
});
