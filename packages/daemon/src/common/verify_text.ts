import { Buffer } from "node:buffer";
import { timingSafeEqual } from "node:crypto";
import { signText } from "./sign_text.ts";

/** Checks in constant time whether `signature` signs `text` with one of the fleet keys. */
export function verifyText(keys: readonly string[], text: string, signature: string): boolean {
  const received = Buffer.from(signature);
  return keys.some((key) => {
    const expected = Buffer.from(signText(key, text));
    return expected.length === received.length && timingSafeEqual(expected, received);
  });
}
