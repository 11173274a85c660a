import type { EventEntry } from "../event_entry.ts";

/** Log events 7000-7999: placement of models and roles. */
export const PLACEMENT_EVENTS = {
  placementOrdered: { number: 7000, level: "info", title: "Placement order sent", action: "none" },
} as const satisfies Record<string, EventEntry>;
