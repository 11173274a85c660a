import type { HostReport } from "./host_report_schema.ts";

/**
 * Fields of a report in the order in which a datagram contains them. New fields are appended with a
 * default in the schema: hosts of an earlier build ignore them and send reports without them.
 */
export const HOST_REPORT_FIELDS = [
  "host",
  "incarnation",
  "sequence",
  "intervalMs",
  "dataCentre",
  "callerAddress",
  "peerAddress",
  "size",
  "isReady",
  "isLeaving",
  "settingsVersion",
  "settingsEra",
  "knownHosts",
  "knownInDataCentre",
  "upstreamsAgeMs",
  "loads",
  "conduct",
  "leaving",
  "joined",
  "limits",
  "brittle",
  "unreachableServices",
  "notices",
  "peers",
  "protocolVersion",
  "evacuations",
  "cold",
  "waiting",
] as const satisfies readonly (keyof HostReport)[];
