import type { EventEntry } from "../event_entry.ts";

/** Log events 7000-7999: placement of models and roles. */
export const PLACEMENT_EVENTS = {
  placementOrdered: { number: 7000, level: "info", title: "Placement order sent", action: "none" },
  placementOrderFailed: {
    number: 7001,
    level: "warn",
    title: "Engine refused a placement order or did not respond",
    action: "If this persists, check the engine; the order is computed and sent again",
  },
  placementVersionFailed: {
    number: 7002,
    level: "error",
    title: "Readiness check of a loaded version failed",
    action: "Correct the version at models/<model>; the previous version keeps serving",
  },
  placementBlocked: {
    number: 7003,
    level: "warn",
    title: "Engine is full and holds the last ready copy of a model in use",
    action: "Add an engine, or remove the model from models/ and from every team",
  },
} as const satisfies Record<string, EventEntry>;
