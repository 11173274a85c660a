import { createHash } from "node:crypto";
import type { ForwardedRequest } from "./forwarded_request.ts";

const FINGERPRINT_LENGTH = 32;

/** Digests the fields that identify a repeated request: team, method, target and body. */
export function digestForwardedRequest(
  request: Pick<ForwardedRequest, "team" | "method" | "target" | "body">,
): string {
  const { team, method, target, body } = request;
  const hash = createHash("sha256").update(JSON.stringify([team ?? null, method, target]));
  return hash.update(body ?? "").digest("hex").slice(0, FINGERPRINT_LENGTH);
}
