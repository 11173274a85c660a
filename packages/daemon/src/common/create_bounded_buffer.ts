import type { ByteBudget } from "./create_byte_budget.ts";
import { createByteCollector } from "./create_byte_collector.ts";

/** A response that is buffered within limits. */
export interface BoundedBuffer {
  /** Adds bytes; returns the reason if they exceed a limit, and buffers nothing further. */
  add(chunk: Uint8Array): string | undefined;
  /** Returns all bytes, and their room to the budget; nothing may be added after it. */
  take(): Uint8Array;
}

/** Creates a buffer of at most `maxBytes` that takes its room from a budget. */
export function createBoundedBuffer(budget: ByteBudget, maxBytes: number): BoundedBuffer {
  const collected = createByteCollector();
  const account = budget.open();
  return {
    add: (chunk) => {
      if (collected.size + chunk.length > maxBytes) {
        return `response exceeds ${maxBytes} bytes`;
      }
      if (!account.add(chunk.length)) {
        return "response exceeds what is left of the bytes that this host buffers";
      }
      collected.add(chunk);
      return undefined;
    },
    take: () => {
      account.close();
      return collected.read();
    },
  };
}
