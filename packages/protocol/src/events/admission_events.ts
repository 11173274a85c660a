import type { EventEntry } from "../event_entry.ts";

/** Log events 4000-4999: admission and routing. */
export const ADMISSION_EVENTS = {
  requestRefused: { number: 4000, level: "info", title: "Request refused", action: "none" },
} as const satisfies Record<string, EventEntry>;
