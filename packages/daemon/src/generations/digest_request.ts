import { createHash } from "node:crypto";
import type { GenerationRequest } from "./generation_request.ts";

const FINGERPRINT_LENGTH = 32;

/**
 * Hashes the parts of a request that determine its execution on an engine. The team is included, so
 * that identical requests of two teams have different fingerprints.
 */
export function digestRequest(team: string, request: GenerationRequest): string {
  const { model, prompt, maxTokens } = request;
  const identity = JSON.stringify([team, model, prompt, maxTokens ?? null]);
  return createHash("sha256").update(identity).digest("hex").slice(0, FINGERPRINT_LENGTH);
}
