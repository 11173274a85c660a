import { createHash } from "node:crypto";
import type { GenerationRequest } from "./generation_request.ts";

const FINGERPRINT_LENGTH = 32;

/**
 * Digests what identifies a request to an engine. The team is part of it, so that the identical
 * text of another team is another request.
 */
export function digestRequest(team: string, request: GenerationRequest): string {
  const { model, prompt, maxTokens } = request;
  const identity = JSON.stringify([team, model, prompt, maxTokens ?? null]);
  return createHash("sha256").update(identity).digest("hex").slice(0, FINGERPRINT_LENGTH);
}
