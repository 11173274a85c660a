import { Buffer } from "node:buffer";
import { signText } from "../common/sign_text.ts";
import type { KeyPrefix } from "./key_prefix_schema.ts";

/** Renders and signs a key prefix; the caller appends an id of its own. */
export function encodeKeyPrefix(prefix: KeyPrefix, fleetKey: string): string {
  const parts = prefix.map(({ host, incarnation, epoch }) => [host, incarnation, epoch]);
  const payload = Buffer.from(JSON.stringify(parts)).toString("base64url");
  return `ck1.${payload}.${signText(fleetKey, `order:${payload}`)}.`;
}
