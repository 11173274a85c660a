import type { WaitingRequest } from "./waiting_request.ts";

/** Computes the time left until a request can no longer start within its target. */
export function computeSlack(
  request: Pick<WaitingRequest, "targetAtMs" | "promptTokens">,
  tokensPerMs: number,
  nowMs: number,
): number {
  return request.targetAtMs - request.promptTokens / tokensPerMs - nowMs;
}
