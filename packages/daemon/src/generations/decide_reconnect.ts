import type { ResultCodeName } from "@crocussail/protocol";

/** State of a relay whose connection has just ended without a finish event. */
export interface ReconnectInput {
  /** Error code of the last resume; `upstreamLost` if an open stream ended or stalled. */
  readonly cause: ResultCodeName;
  /** Number of consecutive reconnects without a new token. */
  readonly failureCount: number;
  readonly nowMs: number;
  readonly deadlineMs: number;
}

/** Limits of {@link decideReconnect}. */
export interface ReconnectLimits {
  readonly maxReconnects: number;
  readonly firstReconnectMs: number;
  readonly maxReconnectMs: number;
}

/** Whether a relay reconnects or stops. */
export type ReconnectEffect =
  | { readonly type: "reconnect"; readonly delayMs: number }
  | { readonly type: "stop"; readonly reason: "generationUnknown" | "attempts" | "deadline" };

/**
 * Decides whether a relay reconnects to the same generation. The first attempt after progress is
 * immediate, later ones use exponential backoff. No attempt starts after the deadline.
 */
export function decideReconnect(input: ReconnectInput, limits: ReconnectLimits): ReconnectEffect {
  if (input.cause === "generationUnknown") {
    return { type: "stop", reason: "generationUnknown" };
  }
  if (input.failureCount >= limits.maxReconnects) {
    return { type: "stop", reason: "attempts" };
  }
  const backoffMs = limits.firstReconnectMs * 2 ** (input.failureCount - 1);
  const delayMs = input.failureCount === 0 ? 0 : Math.min(backoffMs, limits.maxReconnectMs);
  if (input.nowMs + delayMs >= input.deadlineMs) {
    return { type: "stop", reason: "deadline" };
  }
  return { type: "reconnect", delayMs };
}
