import type { EventEntry } from "../event_entry.ts";

/** Log events 4000-4999: admission and routing. */
export const ADMISSION_EVENTS = {
  requestRefused: { number: 4000, level: "info", title: "Request refused", action: "none" },
  admissionOwnershipTaken: {
    number: 4001,
    level: "info",
    title: "This host became the admission owner of an upstream",
    action: "none",
  },
  admissionOwnerSilent: {
    number: 4002,
    level: "warn",
    title: "No admission owner of the upstream responded; this host granted the request itself",
    action:
      "If this persists, check why the hosts of the upstream's data centre do not respond to peers",
  },
  upstreamLeaving: {
    number: 4003,
    level: "warn",
    title: "Upstream is draining and receives no new requests",
    action: "None if the drain is intended; otherwise check the engine's own status report",
  },
} as const satisfies Record<string, EventEntry>;
