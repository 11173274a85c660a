import { decodeHostDatagram } from "@crocussail/daemon/fleet_hosts";

/** What a datagram between hosts is sent for. */
export type DatagramKind =
  | "own report to relay or contact"
  | "batch in the data centre"
  | "batch to another data centre"
  | "unreadable";

/** Finds the kind of a datagram that one host sends to another; data centres are compared by number. */
export function findDatagramKind(
  datagram: Uint8Array,
  key: string,
  isBetweenDataCentres: boolean,
): DatagramKind {
  const decoded = decodeHostDatagram(datagram, key);
  if (decoded === undefined) {
    return "unreadable";
  }
  const [first, ...rest] = decoded.reports;
  if (rest.length === 0 && first?.report.peerAddress === decoded.senderAddress) {
    return "own report to relay or contact";
  }
  return isBetweenDataCentres ? "batch to another data centre" : "batch in the data centre";
}
