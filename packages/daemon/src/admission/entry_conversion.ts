import type { EntryMessage } from "./admission_message_schema.ts";
import type { QueueEntry } from "./queue_entry.ts";

/** Conversions between an entry on this host's clock and its wire form. */
export const ENTRY_CONVERSION = {
  toMessage: (entry: QueueEntry, nowMs: number): EntryMessage => {
    const { arrivedMs, deadlineMs, ...rest } = entry;
    return {
      ...rest,
      waitedMs: Math.max(0, nowMs - arrivedMs),
      remainingMs: deadlineMs - nowMs,
    };
  },
  toEntry: (message: EntryMessage, nowMs: number): QueueEntry => {
    const { waitedMs, remainingMs, maxTokens, ...rest } = message;
    return {
      ...rest,
      ...(maxTokens === undefined ? {} : { maxTokens }),
      arrivedMs: nowMs - waitedMs,
      deadlineMs: nowMs + remainingMs,
    };
  },
} as const;
