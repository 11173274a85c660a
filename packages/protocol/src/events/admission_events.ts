import type { EventEntry } from "../event_entry.ts";

/** Log events 4000-4999: admission and routing. */
export const ADMISSION_EVENTS = {
  requestRefused: { number: 4000, level: "info", title: "Request refused", action: "none" },
  admissionOwnershipTaken: {
    number: 4001,
    level: "info",
    title: "This host decides admission for an upstream",
    action: "none",
  },
  admissionOwnerSilent: {
    number: 4002,
    level: "warn",
    title: "Granted within the local share: no owner of the upstream answered",
    action: "If it goes on, see why the hosts of the upstream's data centre do not answer peers",
  },
  upstreamLeaving: {
    number: 4003,
    level: "warn",
    title: "Upstream is leaving and gets nothing new",
    action: "None if it is meant to leave; otherwise see the engine's own report",
  },
} as const satisfies Record<string, EventEntry>;
