import type { EventEntry } from "../event_entry.ts";

/** Log events 1000-1999: the daemon's process and its peer connections. */
export const GENERAL_EVENTS = {
  daemonStarted: { number: 1000, level: "info", title: "Daemon started", action: "none" },
  daemonStopped: { number: 1001, level: "info", title: "Daemon stopped", action: "none" },
  requestFailed: {
    number: 1002,
    level: "error",
    title: "Request ended with an internal error",
    action: "Report the request id to the developers",
  },
  peerConnected: { number: 1003, level: "debug", title: "Peer connection opened", action: "none" },
  peerDisconnected: {
    number: 1004,
    level: "debug",
    title: "Peer connection closed",
    action: "none",
  },
  peerRefused: {
    number: 1005,
    level: "warn",
    title: "Peer failed the fleet key handshake",
    action: "Check that both hosts hold the same fleet key",
  },
  peerMessageRejected: {
    number: 1006,
    level: "warn",
    title: "Message from a peer rejected",
    action: "Check that both hosts run the same version",
  },
} as const satisfies Record<string, EventEntry>;
