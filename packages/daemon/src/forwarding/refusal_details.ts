/** Words of the answers that a request may get before it is forwarded, by result code. */
export const REFUSAL_DETAILS = {
  invalidRequest: "the request needs one id, one host name and a path",
  noRoute: "no published route has this host name and path",
  unknownKey: "the key belongs to no team",
  headersTooLarge: "the headers are larger than the published limit",
  bodyTooLarge: "the body is larger than the published limit",
  settingsUnknown: "no published settings have been read yet",
  noUpstreamLeft: "no service of the route takes requests",
  requestHeldBack: "the request has crashed more than one upstream",
  noRoomInTime: "this host holds too many bodies",
} as const;

/** Code of such an answer. */
export type RefusalCode = keyof typeof REFUSAL_DETAILS;
