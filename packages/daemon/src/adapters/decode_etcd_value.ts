import { Buffer } from "node:buffer";
import type { z } from "zod";
import type { etcdKeyValueSchema } from "./etcd_key_value_schema.ts";
import type { PublishedValue } from "./settings_source.ts";

/** Decodes a key-value pair or a watch event of the gateway. */
export function decodeEtcdValue(
  event: { type?: string | undefined; kv: z.infer<typeof etcdKeyValueSchema> },
): PublishedValue {
  const path = decodeBase64(event.kv.key);
  const revision = event.kv.mod_revision;
  return event.type === "DELETE"
    ? { path, revision }
    : { path, revision, text: decodeBase64(event.kv.value) };
}

function decodeBase64(text: string): string {
  return Buffer.from(text, "base64").toString("utf8");
}
