import type { ResultCodeEntry } from "../result_code_entry.ts";

/** Result codes 3000-3999: orders (requests that must not be executed twice). */
export const ORDER_RESULT_CODES = {
  orderKeyRequired: {
    number: 3000,
    status: 428,
    ran: "no",
    title: "Call must not run twice and has no idempotency key",
    advice: "Build a key from the prefix in the response, store it, and send the call with it",
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
    advice: "Look the order up at the service; never order again with a new key before that",
  },
  orderNotDispatched: {
    number: 3003,
    status: 503,
    ran: "no",
    title: "Order did not run and never will under this key",
    advice: "Order again with a new key, built from the prefix in the response",
  },
  orderInProgress: {
    number: 3004,
    status: 409,
    ran: "unknown",
    title: "Another call with this key has not recorded an outcome",
    advice: "Repeat with the same key after the stated delay",
  },
  orderKeyReused: {
    number: 3005,
    status: 422,
    ran: "unknown",
    title: "Idempotency key was first used for another call",
    advice: "Repeat the first call unchanged, or use a new key for a new order",
  },
  orderNoMajority: {
    number: 3006,
    status: 503,
    ran: "unknown",
    title: "This call did not run the order; earlier calls with the key may have",
    advice: "Repeat with the same key; if this was the only call with it, the order has not run",
  },
  orderKeyExpired: {
    number: 3007,
    status: 410,
    ran: "unknown",
    title: "Record of this key has expired; calls with the key are no longer executed",
    advice: "Look the order up at the service before ordering again with a new key",
  },
  orderOutcomeOmitted: {
    number: 3008,
    status: 409,
    ran: "yes",
    title: "Order ran; its response was too large to be stored for retries",
    advice: "Look the order up at the service; do not order again",
  },
  serviceFailed: {
    number: 3009,
    status: 502,
    ran: "unknown",
    title: "Plain service returned no complete response",
    advice: "Retry the call; it is repeatable",
  },
  tooManyServiceCalls: {
    number: 3010,
    status: 503,
    ran: "no",
    title: "Daemon has reached its limit of concurrent service calls",
    advice: "Repeat with the same key after the stated delay, at another host",
  },
} as const satisfies Record<string, ResultCodeEntry>;
