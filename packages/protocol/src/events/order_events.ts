import type { EventEntry } from "../event_entry.ts";

/** Log events 3000-3999: calls that must not run twice. */
export const ORDER_EVENTS = {
  orderDispatched: {
    number: 3000,
    level: "debug",
    title: "Order sent to its service",
    action: "none",
  },
} as const satisfies Record<string, EventEntry>;
