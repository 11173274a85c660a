import type { ResultCodeEntry } from "../result_code_entry.ts";

/** Result codes 2000-2999: generations and their streams. */
export const GENERATION_RESULT_CODES = {
  upstreamLost: {
    number: 2000,
    status: 502,
    ran: "yes",
    title: "Upstream was lost before the response was complete",
    advice: "Send the request again if a new answer is acceptable",
  },
  invalidResumeToken: {
    number: 2001,
    status: 400,
    ran: "no",
    title: "Resume token is not valid",
    advice: "Reconnect with the Last-Event-ID of the interrupted stream",
  },
  foreignResumeToken: {
    number: 2002,
    status: 403,
    ran: "no",
    title: "Resume token belongs to another team",
    advice: "Reconnect with an API key of the team that started the stream",
  },
  upstreamUnreachable: {
    number: 2003,
    status: 502,
    ran: "no",
    title: "Connection to the upstream could not be established",
    advice: "Send the request again",
  },
  upstreamRefused: {
    number: 2004,
    status: 503,
    ran: "no",
    title: "Upstream refused the request",
    advice: "Send the request again after a short delay",
  },
  generationUnknown: {
    number: 2005,
    status: 410,
    ran: "yes",
    title: "Upstream no longer holds the generation",
    advice: "Send the request again if a new answer is acceptable",
  },
  callerTooSlow: {
    number: 2006,
    status: 408,
    ran: "yes",
    title: "Caller did not read its stream in time",
    advice: "Reconnect with Last-Event-ID and read faster",
  },
  tooManyStreams: {
    number: 2007,
    status: 429,
    ran: "no",
    title: "Team has reached its limit of streams on this host",
    advice: "Wait for a running stream to end, or request another host with GET /v1/entry",
  },
  requestQuarantined: {
    number: 2008,
    status: 422,
    ran: "no",
    title: "Request has crashed more than one upstream and is quarantined",
    advice: "Change the request, and report it to an operator",
  },
  answerTooLarge: {
    number: 2009,
    status: 502,
    ran: "yes",
    title: "Response exceeds the size limit of a non-streaming response",
    advice: "Send the request with stream set to true",
  },
} as const satisfies Record<string, ResultCodeEntry>;
