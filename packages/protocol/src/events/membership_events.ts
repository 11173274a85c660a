import type { EventEntry } from "../event_entry.ts";

/** Log events 6000-6999: membership, entry and shutdown. */
export const MEMBERSHIP_EVENTS = {
  shutdownStarted: {
    number: 6000,
    level: "info",
    title: "Graceful shutdown started",
    action: "none",
  },
  memberSuspected: {
    number: 6001,
    level: "info",
    title: "Host answered neither this daemon nor its helpers and is suspected",
    action: "none; if it recurs for one host, check its load and its links",
  },
  memberDead: {
    number: 6002,
    level: "warn",
    title: "Host did not refute a suspicion in time and counts as dead",
    action: "Replace the host, or check the links if many are named at once",
  },
  processPaused: {
    number: 6003,
    level: "warn",
    title: "Process was paused and distrusts its view until peers have refreshed it",
    action: "Find what paused the process: swapping, a debugger or an overloaded machine",
  },
  processSuperseded: {
    number: 6004,
    level: "error",
    title: "Another process runs under the name of this host; this one answers no entry requests",
    action: "End one of the two processes or correct host.name in its settings file",
  },
  riderTooLarge: {
    number: 6005,
    level: "error",
    title: "Payload of a slice does not fit into the heartbeat and is left out",
    action: "Report the name of the rider to the developers",
  },
  noticeTooLarge: {
    number: 6006,
    level: "error",
    title: "Notice exceeds its size limit and is not spread",
    action: "Report the topic to the developers",
  },
} as const satisfies Record<string, EventEntry>;
