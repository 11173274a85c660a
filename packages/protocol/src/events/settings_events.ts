import type { EventEntry } from "../event_entry.ts";

/** Log events 5000-5999: published settings. */
export const SETTINGS_EVENTS = {
  settingsRejected: {
    number: 5000,
    level: "warn",
    title: "Published value rejected",
    action: "Correct the value at the path shown",
  },
  settingsServiceLost: {
    number: 5001,
    level: "warn",
    title: "Settings service does not answer",
    action: "Check the service; settings in force stay in force",
  },
  settingsAccepted: {
    number: 5002,
    level: "info",
    title: "Published value in force",
    action: "none",
  },
} as const satisfies Record<string, EventEntry>;
