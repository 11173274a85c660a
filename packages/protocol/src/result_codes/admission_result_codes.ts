import type { ResultCodeEntry } from "../result_code_entry.ts";

/** Result codes 4000-4999: admission and routing. */
export const ADMISSION_RESULT_CODES = {
  noUpstream: {
    number: 4000,
    status: 503,
    ran: "no",
    title: "No upstream can serve this request",
    advice: "Retry after the stated delay",
  },
  overloaded: {
    number: 4001,
    status: 429,
    ran: "no",
    title: "No capacity for the request before its deadline",
    advice: "Retry after the stated delay",
  },
  promptTooLarge: {
    number: 4002,
    status: 413,
    ran: "no",
    title: "Prompt is larger than the memory of an engine",
    advice: "Send a shorter prompt",
  },
} as const satisfies Record<string, ResultCodeEntry>;
