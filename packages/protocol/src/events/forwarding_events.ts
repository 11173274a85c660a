import type { EventEntry } from "../event_entry.ts";

/** Log events 8000-8999: requests that are forwarded by published routes, and what decides them. */
export const FORWARDING_EVENTS = {
  gatewayStarted: { number: 8000, level: "info", title: "Gateway started", action: "none" },
  gatewayLeaving: {
    number: 8001,
    level: "info",
    title: "Gateway was told to stop and takes no new callers",
    action: "none",
  },
  gatewayStopped: { number: 8002, level: "info", title: "Gateway stopped", action: "none" },
  gatewayReloaded: {
    number: 8003,
    level: "info",
    title: "Settings file read again",
    action: "Restart the process for the values named in needsRestart",
  },
  gatewayReloadFailed: {
    number: 8004,
    level: "error",
    title: "Settings file cannot be used; the earlier values stay in force",
    action: "Correct the line named in the detail and send SIGHUP",
  },
  pauseNoticed: {
    number: 8005,
    level: "warn",
    title: "Process did not run for a while, or its time of day was set; it reads everything anew",
    action: "Look for a frozen or overloaded host",
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
    title: "Attempt failed; the request goes to another upstream",
    action: "If it lasts, look at the upstream that is named",
  },
  requestServed: {
    number: 8012,
    level: "info",
    title: "Request got its final answer",
    action: "none",
  },
  ownAnswerSent: {
    number: 8013,
    level: "warn",
    title: "Request got an answer of this host's own",
    action: "The reason says what was missing",
  },
  callerLeft: {
    number: 8014,
    level: "info",
    title: "Caller closed the connection before the answer was whole",
    action: "none",
  },
  answerCut: {
    number: 8015,
    level: "error",
    title: "Answer was broken off after its first part",
    action: "The reason says what was lost; look at the upstream that is named",
  },
  moveStarted: {
    number: 8020,
    level: "info",
    title: "Generation is being moved to another upstream",
    action: "none",
  },
  moveFailed: {
    number: 8021,
    level: "warn",
    title: "Step of a move failed",
    action: "The next way is tried; an answer that is cut is logged by itself",
  },
  generationContinued: {
    number: 8022,
    level: "info",
    title: "Generation goes on at another upstream",
    action: "none",
  },
  settingsInForce: {
    number: 8030,
    level: "info",
    title: "Version of the published settings is in force",
    action: "none",
  },
  publishedValueRejected: {
    number: 8031,
    level: "warn",
    title: "Published value cannot be used",
    action: "Correct the value at the key that is named",
  },
  settingsFeedLost: {
    number: 8032,
    level: "warn",
    title: "Settings service does not answer",
    action: "Requests are served by what is known; look at the service",
  },
  settingsFeedRegained: {
    number: 8033,
    level: "info",
    title: "Settings service answers again",
    action: "none",
  },
  upstreamJoined: { number: 8040, level: "info", title: "Upstream is ready", action: "none" },
  upstreamLeft: {
    number: 8041,
    level: "info",
    title: "Upstream leaves and gets no new request",
    action: "none",
  },
  upstreamLapsed: {
    number: 8042,
    level: "warn",
    title: "Record of an upstream ended around an outage of the settings service",
    action: "none; it leaves unless its record is back within the grace",
  },
  hostJoined: { number: 8050, level: "info", title: "Host of the fleet is heard", action: "none" },
  hostLost: {
    number: 8051,
    level: "warn",
    title: "Host of the fleet is no longer heard",
    action: "Look at the host and its links",
  },
} as const satisfies Record<string, EventEntry>;
