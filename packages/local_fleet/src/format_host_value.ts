import type { DaemonPorts } from "@crocussail/daemon";

/** Renders the published value of a host on loopback. */
export function formatHostValue(options: { ports: DaemonPorts; dataCentre: string }): string {
  const { ports, dataCentre } = options;
  return `address = 127.0.0.1
caller_port = ${ports.caller}
peer_port = ${ports.peer}
data_centre = ${dataCentre}
`;
}
