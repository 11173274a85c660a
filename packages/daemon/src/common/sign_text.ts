import { createHmac } from "node:crypto";

const SIGNATURE_LENGTH = 22;

/** Signs a text with a fleet key; returns 128 bits as URL-safe base64. */
export function signText(key: string, text: string): string {
  return createHmac("sha256", key).update(text).digest("base64url").slice(0, SIGNATURE_LENGTH);
}
