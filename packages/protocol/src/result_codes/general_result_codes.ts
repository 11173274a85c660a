import type { ResultCodeEntry } from "../result_code_entry.ts";

/** Result codes 1000-1999: requests, authentication, limits and errors of the daemon itself. */
export const GENERAL_RESULT_CODES = {
  invalidRequest: {
    number: 1000,
    status: 400,
    ran: "no",
    title: "Request is not valid",
    advice: "Correct the field named in the detail and send the request again",
  },
  unauthenticated: {
    number: 1001,
    status: 401,
    ran: "no",
    title: "API key is missing or unknown",
    advice: "Send a key of the team in the Authorization header",
  },
  forbidden: {
    number: 1002,
    status: 403,
    ran: "no",
    title: "Team may not use this resource",
    advice: "Ask an operator to add the resource to the team's access settings",
  },
  notFound: {
    number: 1003,
    status: 404,
    ran: "no",
    title: "No such resource",
    advice: "Check the path against the callers' guide",
  },
  bodyTooLarge: {
    number: 1004,
    status: 413,
    ran: "no",
    title: "Request body exceeds the limit",
    advice: "Send a smaller body",
  },
  notReady: {
    number: 1005,
    status: 503,
    ran: "no",
    title: "Daemon is not ready",
    advice: "Request another host with GET /v1/entry, and retry there",
  },
  internalFault: {
    number: 1006,
    status: 500,
    ran: "unknown",
    title: "Daemon failed while handling the request",
    advice: "Report the request id to an operator",
  },
  timeout: {
    number: 1007,
    status: 504,
    ran: "unknown",
    title: "Deadline passed before the response arrived",
    advice: "Retry a repeatable request; send an order again with the same idempotency key",
  },
  peerUnreachable: {
    number: 1008,
    status: 503,
    ran: "no",
    title: "Peer daemon did not respond",
    advice: "Check the network link between the two hosts",
  },
  invalidSettingsFile: {
    number: 1009,
    status: 500,
    ran: "no",
    title: "Settings file of the daemon is not valid",
    advice: "Correct the line named in the detail and restart the daemon",
  },
} as const satisfies Record<string, ResultCodeEntry>;
