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
    title: "Settings service does not respond",
    action: "Check the service; the active settings stay in effect",
  },
  settingsAccepted: {
    number: 5002,
    level: "info",
    title: "Published values became active",
    action: "none",
  },
  settingsServiceFound: {
    number: 5003,
    level: "info",
    title: "Settings service responds again",
    action: "none",
  },
  settingsServiceBehind: {
    number: 5004,
    level: "warn",
    title: "Settings service returned an older revision than the fleet already has",
    action: "If this persists, see the part on a restored service in docs/operators/settings.md",
  },
  settingsUpdateIgnored: {
    number: 5005,
    level: "warn",
    title: "Published value is older than the current one and was ignored",
    action: "See the part on a restored service in docs/operators/settings.md",
  },
  settingsBoundReached: {
    number: 5006,
    level: "error",
    title:
      "Published value rejected: path too long, or limit for number or total size of values reached",
    action: "Delete paths that are no longer used, or shorten values",
  },
  settingsDistrusted: {
    number: 5007,
    level: "warn",
    title: "Process was paused; settings are checked with peers again",
    action: "Find the cause of the pause on this host",
  },
} as const satisfies Record<string, EventEntry>;
