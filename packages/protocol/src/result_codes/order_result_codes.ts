import type { ResultCodeEntry } from "../result_code_entry.ts";

/** Result codes 3000-3999: calls that must not run twice. */
export const ORDER_RESULT_CODES = {
  orderKeyRequired: {
    number: 3000,
    status: 428,
    ran: "no",
    title: "Call may not repeat and carries no idempotency key",
    advice: "Build a key from the prefix in the answer, store it, and send the call with it",
  },
  orderKeyInvalid: {
    number: 3001,
    status: 400,
    ran: "no",
    title: "Idempotency key is not valid",
    advice: "Take a prefix from GET /v1/entry and append an id of your own",
  },
  orderOutcomeUnknown: {
    number: 3002,
    status: 502,
    ran: "unknown",
    title: "Order was sent and its outcome is not known",
    advice: "Repeat with the same key, or look the order up at the service; never use a new key",
  },
  orderNotDispatched: {
    number: 3003,
    status: 503,
    ran: "no",
    title: "Order was not sent because of this attempt",
    advice: "Repeat with the same key",
  },
  orderInProgress: {
    number: 3004,
    status: 409,
    ran: "unknown",
    title: "Order with this key is still running",
    advice: "Repeat with the same key after the stated delay",
  },
} as const satisfies Record<string, ResultCodeEntry>;
