import { createHash } from "node:crypto";

const MAX_KEY_LENGTH = 100;

/**
 * Lists the keys of a prompt's parts for the quarantine, in their order. The last part belongs to
 * the request or its session, which the quarantine of requests covers.
 */
export function listPartKeys(service: string, parts: readonly string[]): string[] {
  return parts.slice(0, -1).map((part) => {
    const key = `${service}/${part}`;
    return key.length <= MAX_KEY_LENGTH ? key : createHash("sha256").update(key).digest("hex");
  });
}
