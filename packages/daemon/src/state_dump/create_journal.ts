import type { Clock } from "@crocussail/protocol";
import type { Journal, JournalEntry } from "../common/journal.ts";

/** Options of {@link createJournal}. */
export interface JournalOptions {
  readonly clock: Clock;
  /** Maximum number of requests stored; when it is reached, the oldest request is evicted. */
  readonly maxRequests: number;
  /** Maximum number of entries stored for one request; later ones are dropped. */
  readonly maxEntries: number;
  /** Reads the active settings revision. */
  readonly readRevision: () => number;
}

/** Creates an empty journal. */
export function createJournal(options: JournalOptions): Journal {
  const requests = new Map<string, JournalEntry[]>();

  const openRequest = (requestId: string): JournalEntry[] => {
    const existing = requests.get(requestId);
    if (existing !== undefined) {
      return existing;
    }
    const [oldest] = requests.keys();
    if (requests.size >= options.maxRequests && oldest !== undefined) {
      requests.delete(oldest);
    }
    const created: JournalEntry[] = [];
    requests.set(requestId, created);
    return created;
  };

  return {
    recordDecision: (requestId, slice, decision, fields = {}) => {
      const entries = openRequest(requestId);
      if (entries.length < options.maxEntries) {
        const time = options.clock.readWallTime().toISOString();
        entries.push({ time, revision: options.readRevision(), slice, decision, fields });
      }
    },
    countRequests: () => requests.size,
    listEntries: (requestId) => requests.get(requestId) ?? [],
  };
}
