/** Who has to receive a report from this host: no one, its data centre, or all data centres. */
export type ForwardingScope = "none" | "dataCentre" | "fleet";

/** How a report arrived. */
export interface ReportArrival {
  readonly isFromOrigin: boolean;
  readonly originDataCentre: string;
  readonly senderDataCentre: string;
  readonly localDataCentre: string;
}

/**
 * Decides to whom a host forwards a new report, which answers the load of a fleet where every host
 * reports to every other: a host sends its report to the relays of its data centre, they send it to
 * their data centre and to the relays of the others, and those to theirs.
 */
export function decideForwarding(arrival: ReportArrival): ForwardingScope {
  if (arrival.originDataCentre === arrival.localDataCentre) {
    return arrival.isFromOrigin ? "fleet" : "none";
  }
  return arrival.senderDataCentre === arrival.localDataCentre ? "none" : "dataCentre";
}
