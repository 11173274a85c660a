import type { EventEntry } from "../event_entry.ts";

/** Log events 2000-2999: generations and their streams. */
export const GENERATION_EVENTS = {
  generationCompleted: {
    number: 2000,
    level: "debug",
    title: "Generation completed",
    action: "none",
  },
} as const satisfies Record<string, EventEntry>;
