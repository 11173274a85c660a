import type { EventEntry } from "../event_entry.ts";

/** Log events 2000-2999: generations and their streams. */
export const GENERATION_EVENTS = {
  generationCompleted: {
    number: 2000,
    level: "debug",
    title: "Generation completed",
    action: "none",
  },
  generationReconnected: {
    number: 2001,
    level: "info",
    title: "Relay reconnected to an upstream after a connection failure",
    action: "Check the network link to the upstream if this recurs",
  },
  generationLost: {
    number: 2002,
    level: "warn",
    title: "Generation ended without the upstream's finish event",
    action: "Check the upstream named in the event",
  },
  generationPlacedAgain: {
    number: 2003,
    level: "info",
    title: "Generation was placed again before its first token",
    action: "none",
  },
  generationCancelled: {
    number: 2004,
    level: "debug",
    title: "Generation was cancelled after its caller disconnected",
    action: "none",
  },
  cancelFailed: {
    number: 2005,
    level: "warn",
    title: "Upstream did not confirm a cancellation",
    action: "Check whether the upstream still runs the generation",
  },
  generationResumed: {
    number: 2006,
    level: "info",
    title: "Stream was resumed on this host",
    action: "none",
  },
  resumeUnacknowledged: {
    number: 2007,
    level: "warn",
    title: "Previous host of a resumed stream did not confirm the handover",
    action: "None if that host is down; otherwise check the network link between the hosts",
  },
  upstreamCrashed: {
    number: 2008,
    level: "warn",
    title: "Upstream crashed while generations were running on it",
    action: "Check the upstream's own log",
  },
  requestQuarantined: {
    number: 2009,
    level: "error",
    title: "Request was quarantined after crashing more than one upstream",
    action:
      "Find the request in the log lines of earlier upstream crashes, and review it with its team",
  },
} as const satisfies Record<string, EventEntry>;
