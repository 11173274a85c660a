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
    title: "Settings service returned an older revision than the fleet holds",
    action: "If this persists, see docs/operators/settings.md on a restored service",
  },
  settingsUpdateIgnored: {
    number: 5005,
    level: "warn",
    title: "Published value is older than the one held and was ignored",
    action: "See docs/operators/settings.md on a restored service",
  },
  settingsBoundReached: {
    number: 5006,
    level: "error",
    title: "Published value refused because a limit of the settings map is reached",
    action: "Delete paths that are no longer used, or shorten values",
  },
  settingsDistrusted: {
    number: 5007,
    level: "warn",
    title: "Process was paused; settings are checked with peers again",
    action: "Find the cause of the pause on this host",
  },
} as const satisfies Record<string, EventEntry>;
