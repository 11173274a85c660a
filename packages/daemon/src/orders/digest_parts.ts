import { createHash } from "node:crypto";

/** Digests a list of texts and an optional body; 256 bits in URL-safe base64. */
export function digestParts(parts: readonly string[], body?: Uint8Array): string {
  const hash = createHash("sha256").update(JSON.stringify(parts));
  if (body !== undefined) {
    hash.update(body);
  }
  return hash.digest("base64url");
}
