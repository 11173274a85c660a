import type { EventEntry } from "../event_entry.ts";

/** Log events 6000-6999: membership, entry and shutdown. */
export const MEMBERSHIP_EVENTS = {
  shutdownStarted: {
    number: 6000,
    level: "info",
    title: "Graceful shutdown started",
    action: "none",
  },
} as const satisfies Record<string, EventEntry>;
