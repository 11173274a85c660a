import type { EventEntry } from "../event_entry.ts";

/** Log events 8000-8999: requests forwarded by published routes; settings, upstreams and hosts. */
export const FORWARDING_EVENTS = {
  gatewayStarted: { number: 8000, level: "info", title: "Gateway started", action: "none" },
  gatewayLeaving: {
    number: 8001,
    level: "info",
    title: "Gateway is shutting down and accepts no new callers",
    action: "none",
  },
  gatewayStopped: { number: 8002, level: "info", title: "Gateway stopped", action: "none" },
  gatewayReloaded: {
    number: 8003,
    level: "info",
    title: "Settings file reloaded",
    action: "Restart the process to apply the values named in needsRestart",
  },
  gatewayReloadFailed: {
    number: 8004,
    level: "error",
    title: "Settings file cannot be used; the previous values stay in effect",
    action: "Correct the line named in the detail and send SIGHUP",
  },
  pauseNoticed: {
    number: 8005,
    level: "warn",
    title: "Process was paused or its wall clock was set; it reads all published data again",
    action: "Check whether the host was paused or is overloaded",
  },
  requestPlaced: {
    number: 8010,
    level: "info",
    title: "Request sent to an upstream",
    action: "none",
  },
  requestRepeated: {
    number: 8011,
    level: "warn",
    title: "Attempt failed; the request is retried at another upstream",
    action: "If this persists, check the upstream named in the event",
  },
  requestServed: {
    number: 8012,
    level: "info",
    title: "Forwarded request ended",
    action: "none",
  },
  ownAnswerSent: {
    number: 8013,
    level: "warn",
    title: "Host responded to the request itself, without an upstream",
    action: "See the code and the detail for the cause",
  },
  callerLeft: {
    number: 8014,
    level: "info",
    title: "Caller closed the connection before the response was complete",
    action: "none",
  },
  answerCut: {
    number: 8015,
    level: "error",
    title: "Response was cut off after its first part",
    action: "The reason states what was lost; check the upstream named in the event",
  },
  moveStarted: {
    number: 8020,
    level: "info",
    title: "Migration of a generation to another upstream started",
    action: "none",
  },
  moveFailed: {
    number: 8021,
    level: "warn",
    title: "Step of a migration failed",
    action: "none; the next method is tried, and a response that is cut off has its own event",
  },
  generationContinued: {
    number: 8022,
    level: "info",
    title: "Generation continues at another upstream",
    action: "none",
  },
  settingsInForce: {
    number: 8030,
    level: "info",
    title: "Version of the published settings became active",
    action: "none",
  },
  publishedValueRejected: {
    number: 8031,
    level: "warn",
    title: "Published value cannot be used",
    action: "Correct the value at the key named in the event",
  },
  settingsFeedLost: {
    number: 8032,
    level: "warn",
    title: "Settings service does not respond",
    action: "Requests are served with the last known settings; check the service",
  },
  settingsFeedRegained: {
    number: 8033,
    level: "info",
    title: "Settings service responds again",
    action: "none",
  },
  upstreamJoined: { number: 8040, level: "info", title: "Upstream is ready", action: "none" },
  upstreamLeft: {
    number: 8041,
    level: "info",
    title: "Upstream is draining or removed and receives no new requests",
    action: "none",
  },
  upstreamLapsed: {
    number: 8042,
    level: "warn",
    title: "Record of an upstream expired around an outage of the settings service",
    action: "none; the upstream is drained unless its record returns within the grace period",
  },
  hostJoined: {
    number: 8050,
    level: "info",
    title: "Host of the fleet is live: its reports arrive",
    action: "none",
  },
  hostLost: {
    number: 8051,
    level: "warn",
    title: "Host of the fleet no longer counts as live: its reports stopped",
    action: "Check the host and its network links",
  },
} as const satisfies Record<string, EventEntry>;
