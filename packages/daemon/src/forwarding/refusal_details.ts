/** Problem details of requests that are refused before they are forwarded, by result code. */
export const REFUSAL_DETAILS = {
  invalidRequest: "the request needs exactly one request id, a Host header and a path",
  noRoute: "no published route matches this host name and path",
  unknownKey: "the key belongs to no team",
  headersTooLarge: "the headers are larger than the published limit",
  bodyTooLarge: "the body is larger than the published limit",
  bodyTooSlow: "the body did not arrive completely within the request's timeout",
  settingsUnknown: "this host has not loaded any published settings yet",
  noUpstreamLeft: "no service of the route accepts requests",
  requestHeldBack: "the request, or a part of its prompt, has crashed several upstreams",
  noRoomInTime: "this host buffers too many request bodies",
  limitReached: "all upstreams that are left have reached the limit that each of them names",
} as const;

/** Result code of a request that is refused before it is forwarded. */
export type RefusalCode = keyof typeof REFUSAL_DETAILS;
