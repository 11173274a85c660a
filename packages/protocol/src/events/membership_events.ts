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
    title: "Host responded to neither direct nor indirect probes and is suspected",
    action: "none; if this recurs for one host, check its load and its network links",
  },
  memberDead: {
    number: 6002,
    level: "warn",
    title: "Host did not refute a suspicion in time and is declared dead",
    action: "Replace the host, or check the network if many hosts are reported at once",
  },
  processPaused: {
    number: 6003,
    level: "warn",
    title: "Process was paused; its membership view counts as stale until peers have refreshed it",
    action: "Find what paused the process: swapping, a debugger or an overloaded machine",
  },
  processSuperseded: {
    number: 6004,
    level: "error",
    title: "Another process runs under this host's name; this process answers no entry requests",
    action: "End one of the two processes or correct host.name in its settings file",
  },
  riderTooLarge: {
    number: 6005,
    level: "error",
    title: "Payload does not fit into the heartbeat and is omitted",
    action: "Report the payload's name, in the field rider, to the developers",
  },
  noticeTooLarge: {
    number: 6006,
    level: "error",
    title: "Notice exceeds its size limit and is not sent to other hosts",
    action: "Report the topic to the developers",
  },
  shutdownRepeated: {
    number: 6007,
    level: "warn",
    title: "Another stop signal arrived during the shutdown; running requests are not aborted",
    action: "Wait; the fields state what is still running",
  },
  listenerClosed: {
    number: 6008,
    level: "info",
    title: "Every entry response that names this host has expired; the listener is closed",
    action: "none",
  },
  shutdownWaiting: {
    number: 6009,
    level: "warn",
    title: "Requests are still running long after the listener closed",
    action: "Wait, or cancel them at their callers; killing the process aborts them",
  },
  handOverFailed: {
    number: 6010,
    level: "error",
    title: "Module could not hand over its state; the shutdown continues",
    action: "Check the network links of this host; orders in that state may get an unknown outcome",
  },
} as const satisfies Record<string, EventEntry>;
