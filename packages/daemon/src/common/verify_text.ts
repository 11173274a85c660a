import { Buffer } from "node:buffer";
import { timingSafeEqual } from "node:crypto";
import { signText } from "./sign_text.ts";

/** Tells in constant time whether `signature` was made for `text` with one of the fleet's keys. */
export function verifyText(keys: readonly string[], text: string, signature: string): boolean {
  const given = Buffer.from(signature);
  return keys.some((key) => {
    const wanted = Buffer.from(signText(key, text));
    return wanted.length === given.length && timingSafeEqual(wanted, given);
  });
}
