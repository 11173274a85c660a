import { createHash } from "node:crypto";

const PREFIX_CHARACTERS = 1_024;

/**
 * Hashes the start of a prompt into the key that engines use in their cache events. The salt is
 * included, so that teams share no cache entries and cannot detect each other's prompts by timing.
 */
export function hashPromptPrefix(salt: string, prompt: string): string {
  const hash = createHash("sha256").update(salt).update("\0");
  return hash.update(prompt.slice(0, PREFIX_CHARACTERS)).digest("hex");
}
