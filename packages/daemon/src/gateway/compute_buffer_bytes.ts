import { GATEWAY_LIMITS } from "./constants.ts";

const MIB = 1_048_576;

/**
 * Computes the bytes for one kind of buffer, such as callers' bodies: a share of the memory that the
 * process does not use otherwise, but room for the largest body beside as much of others.
 */
export function computeBufferBytes(memoryMb: number): number {
  const { processMemoryMb, bufferShare, minBufferMib, maxBufferMib } = GATEWAY_LIMITS;
  const mib = (memoryMb - processMemoryMb) * bufferShare;
  return Math.floor(Math.min(maxBufferMib, Math.max(minBufferMib, mib)) * MIB);
}
