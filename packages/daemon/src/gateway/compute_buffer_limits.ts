import { GATEWAY_LIMITS } from "./constants.ts";

/** Bytes that a host buffers, by kind. */
export interface BufferLimits {
  /** Bodies and headers of requests. */
  readonly bodyBytes: number;
  /** Responses that are not complete. */
  readonly answerBytes: number;
  /** What callers have not read of responses. */
  readonly unsentBytes: number;
}

const MIB = 1_048_576;

/**
 * Computes the limits from a host's memory: shares of what the process does not use otherwise, but room
 * for the largest body, and for the largest response beside as much of others.
 */
export function computeBufferLimits(memoryMb: number): BufferLimits {
  const { processMemoryMb, bodyShare, minBodyMib, maxBodyMib } = GATEWAY_LIMITS.buffers;
  const { answerShareOfBody, unsentShareOfBody } = GATEWAY_LIMITS.buffers;
  const mib = (memoryMb - processMemoryMb) * bodyShare;
  const bodyBytes = Math.floor(Math.min(maxBodyMib, Math.max(minBodyMib, mib)) * MIB);
  return {
    bodyBytes,
    answerBytes: Math.floor(bodyBytes * answerShareOfBody),
    unsentBytes: Math.floor(bodyBytes * unsentShareOfBody),
  };
}
