import type { QueueEntry } from "../queue_entry.ts";

/** Returns a queue entry of default urgency with a late deadline, with changes. */
export function makeEntry(id: string, changes: Partial<QueueEntry> = {}): QueueEntry {
  return {
    id,
    team: "planners",
    kind: "plan",
    model: "plan-70b",
    urgency: 5,
    weight: 1,
    promptTokens: 100,
    arrivedMs: 0,
    deadlineMs: 600_000,
    tokenGapMs: 37,
    ...changes,
  };
}
