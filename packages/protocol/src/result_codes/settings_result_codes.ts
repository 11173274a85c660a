import type { ResultCodeEntry } from "../result_code_entry.ts";

/** Result codes 5000-5999: published settings. */
export const SETTINGS_RESULT_CODES = {
  invalidSettingsValue: {
    number: 5000,
    status: 500,
    ran: "no",
    title: "Published value was rejected",
    advice:
      "Correct the value at the path named in the detail; the last accepted one stays in effect",
  },
  settingsServiceUnavailable: {
    number: 5001,
    status: 503,
    ran: "no",
    title: "Settings service did not respond",
    advice: "Check the service; daemons keep the settings they hold",
  },
  settingsRevisionCompacted: {
    number: 5002,
    status: 503,
    ran: "no",
    title: "Settings service no longer holds the revision to watch from",
    advice: "None; the daemon reads the whole tree again",
  },
} as const satisfies Record<string, ResultCodeEntry>;
