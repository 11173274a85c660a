import type { ResultCodeEntry } from "../result_code_entry.ts";

/** Result codes 2000-2999: generations and their streams. */
export const GENERATION_RESULT_CODES = {
  upstreamLost: {
    number: 2000,
    status: 502,
    ran: "yes",
    title: "Upstream was lost before the answer was complete",
    advice: "Send the request again if a new answer is acceptable",
  },
  invalidResumeToken: {
    number: 2001,
    status: 400,
    ran: "no",
    title: "Resume token is not valid for this team",
    advice: "Reconnect with the Last-Event-ID of the interrupted stream",
  },
} as const satisfies Record<string, ResultCodeEntry>;
