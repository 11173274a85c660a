import { Buffer } from "node:buffer";
import { signText } from "../common/sign_text.ts";
import type { KeyPrefix } from "./key_prefix_schema.ts";

/** Encodes and signs a key prefix; the caller appends its own id. */
export function encodeKeyPrefix(prefix: KeyPrefix, fleetKey: string): string {
  const parts = prefix.map(({ host, incarnation, epoch }) => [host, incarnation, epoch]);
  const payload = Buffer.from(JSON.stringify(parts)).toString("base64url");
  return `ck1.${payload}.${signText(fleetKey, `order:${payload}`)}.`;
}
