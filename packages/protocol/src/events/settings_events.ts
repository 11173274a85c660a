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
    title: "Settings service does not answer",
    action: "Check the service; settings in force stay in force",
  },
  settingsAccepted: {
    number: 5002,
    level: "info",
    title: "Published values in force",
    action: "none",
  },
  settingsServiceFound: {
    number: 5003,
    level: "info",
    title: "Settings service answers again",
    action: "none",
  },
  settingsServiceBehind: {
    number: 5004,
    level: "warn",
    title: "Settings service answers with an older revision than the fleet holds",
    action: "If it lasts, see docs/operators/settings.md on a restored service",
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
    title: "Published value refused because a bound of the settings map is reached",
    action: "Delete paths that are no longer used, or shorten values",
  },
  settingsDistrusted: {
    number: 5007,
    level: "warn",
    title: "Process was paused; settings are checked with peers again",
    action: "Look for the cause of the pause on this host",
  },
} as const satisfies Record<string, EventEntry>;
