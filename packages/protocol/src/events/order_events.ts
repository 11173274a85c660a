import type { EventEntry } from "../event_entry.ts";

/** Log events 3000-3999: orders (requests that must not be executed twice). */
export const ORDER_EVENTS = {
  orderDispatched: {
    number: 3000,
    level: "debug",
    title: "Order sent to its service",
    action: "none",
  },
  orderEnded: {
    number: 3001,
    level: "debug",
    title: "Order ended",
    action: "none",
  },
  orderOutcomeLost: {
    number: 3002,
    level: "warn",
    title: "Order failed after its first byte was sent; its outcome is unknown",
    action: "Check the service and the network link to it; the caller must look the order up",
  },
  orderTableFull: {
    number: 3003,
    level: "warn",
    title: "Order records have reached their limit; new keys are refused",
    action: "Add hosts, or find the team that sends more orders than planned",
  },
  dutyHandedOver: {
    number: 3004,
    level: "info",
    title: "Order records handed to a successor",
    action: "none",
  },
  dutyLost: {
    number: 3005,
    level: "warn",
    title: "Order records could not be handed over; their keys have one replica fewer",
    action: "Delay the next restart until the records' epochs have ended",
  },
  dutyAdopted: {
    number: 3006,
    level: "info",
    title: "Order records of a predecessor taken over",
    action: "none",
  },
} as const satisfies Record<string, EventEntry>;
