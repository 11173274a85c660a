import type { ResultCodeEntry } from "../result_code_entry.ts";

/** Result codes 6000-6999: membership, entry and shutdown. */
export const MEMBERSHIP_RESULT_CODES = {
  hostLeaving: {
    number: 6000,
    status: 503,
    ran: "no",
    title: "Host is draining and accepts no new requests",
    advice: "Send GET /v1/entry to another host, and retry at a host in its response",
  },
} as const satisfies Record<string, ResultCodeEntry>;
