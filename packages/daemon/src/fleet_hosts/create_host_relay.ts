import type { Clock } from "@crocussail/protocol";
import { HOST_LIMITS } from "./constants.ts";
import { createReportConfirmation } from "./create_report_confirmation.ts";
import { createRelayQueue } from "./create_relay_queue.ts";
import { decideForwarding } from "./decide_forwarding.ts";
import type { AgedReport, HostDatagram } from "./host_datagram.ts";
import type { HostReport } from "./host_report_schema.ts";
import { isLosslessRelay } from "./is_lossless_relay.ts";
import { rankRelays } from "./rank_relays.ts";
import type { RelayCandidate } from "./rank_relays.ts";
import type { ReportIdentity } from "./read_report_identity.ts";

/** Options of {@link createHostRelay}. */
export interface HostRelayOptions {
  readonly clock: Clock;
  readonly localHost: RelayCandidate;
  /** Lists the other hosts that are live, and those that may still receive reports. */
  readonly listLive: () => HostReport[];
  readonly listRecent: () => HostReport[];
  readonly sendReports: (addresses: readonly string[], reports: readonly AgedReport[]) => void;
}

/** The part of this host in forwarding the reports of a large fleet. */
export interface HostRelay {
  /** Lists where this host's own report has to be sent, and forwards it if this host is a relay. */
  distributeReport(report: HostReport): string[];
  /** Whether this host sends its reports to the given host of its data centre. */
  isRelay(host: string): boolean;
  /** Forwards a received report if this host has to; `isNew` states that it was stored. */
  forwardReport(received: AgedReport, sender: HostDatagram, isNew: boolean): void;
  /**
   * Takes into account that another host has forwarded a report that is known here already: one of
   * this host, or one that this host may have to forward.
   */
  recordForwarded(identity: ReportIdentity, sender: HostDatagram): void;
  stop(): void;
}

/**
 * Creates the relay of a host. Every host may be one: relays are the hosts that rank first in the
 * view of whoever sends, so there is no election, and a relay that fails is replaced by the next one
 * within `relayTakeoverMs` for each report.
 */
export function createHostRelay(options: HostRelayOptions): HostRelay {
  const { localHost } = options;
  const listRankedRelays = (dataCentre: string) => {
    const ranked = rankRelays(options.listLive(), dataCentre);
    return ranked.length > 0 ? ranked : rankRelays(options.listRecent(), dataCentre);
  };
  const listAddresses = (reports: readonly HostReport[]) =>
    reports.map(({ peerAddress }) => peerAddress);
  const listOtherDataCentres = () =>
    new Set(
      options.listRecent().map(({ dataCentre }) => dataCentre)
        .filter((dataCentre) => dataCentre !== localHost.dataCentre),
    );
  const listLocalRelays = () =>
    rankRelays<RelayCandidate>([localHost, ...options.listLive()], localHost.dataCentre)
      .slice(0, HOST_LIMITS.relaysPerReport).map(({ host }) => host);
  /** Lists the addresses of this data centre's hosts that drop fields of the reports they forward. */
  const listDroppingAddresses = () =>
    new Set(listAddresses(
      options.listRecent().filter((report) =>
        report.dataCentre === localHost.dataCentre && !isLosslessRelay(report)
      ),
    ));
  let cached = {
    relays: listLocalRelays(),
    dropping: listDroppingAddresses(),
    untilMs: Number.NEGATIVE_INFINITY,
  };
  const readCache = () => {
    const nowMs = options.clock.readMonotonicMs();
    if (nowMs >= cached.untilMs) {
      cached = {
        relays: listLocalRelays(),
        dropping: listDroppingAddresses(),
        untilMs: nowMs + HOST_LIMITS.relayCacheMs,
      };
    }
    return cached;
  };
  const getLocalRelays = () => readCache().relays;
  const isLossy = ({ senderAddress }: HostDatagram) => readCache().dropping.has(senderAddress);
  /** Whether the first relay, which ranks before all that drop fields, keeps them. */
  const hasLosslessRelay = () => {
    const [first] = getLocalRelays();
    return first === localHost.host ||
      options.listLive().some((report) => report.host === first && isLosslessRelay(report));
  };
  const computeRank = () => {
    const rank = getLocalRelays().indexOf(localHost.host);
    return rank < 0 ? HOST_LIMITS.relaysPerReport : rank;
  };
  /** Lists the addresses of the relays of this data centre other than this host, in their order. */
  const listRelayAddresses = (isFit: (report: HostReport) => boolean = () => true) => {
    const live = options.listLive().filter(isFit);
    return listLocalRelays().flatMap((relay) =>
      listAddresses(live.filter(({ host }) => host === relay))
    );
  };
  const confirmation = createReportConfirmation({
    clock: options.clock,
    sendToStandby: (reports, relayAddress) =>
      options.sendReports(
        listRelayAddresses().filter((address) => address !== relayAddress),
        reports,
      ),
  });
  const queue = createRelayQueue({
    clock: options.clock,
    sendToDataCentre: (reports) =>
      options.sendReports(
        listAddresses(
          options.listRecent().filter(({ dataCentre }) => dataCentre === localHost.dataCentre),
        ),
        reports,
      ),
    sendToRelays: (reports) =>
      options.sendReports(
        [...listOtherDataCentres()].flatMap((dataCentre) =>
          listAddresses(listRankedRelays(dataCentre).slice(0, HOST_LIMITS.relaysPerBatch))
        ),
        reports,
      ),
  });

  return {
    distributeReport: (report) => {
      const rank = computeRank();
      if (rank < HOST_LIMITS.relaysPerReport) {
        queue.enqueue({ report, ageMs: 0, scope: "fleet", rank });
      }
      if (rank === 0) {
        // This host sends the report to all; a relay that drops fields must not send it as well.
        return listRelayAddresses(isLosslessRelay);
      }
      const addresses = listRelayAddresses();
      const [first] = addresses;
      if (first === undefined || confirmation.isSilent(first)) {
        return addresses;
      }
      confirmation.recordSent(report, first);
      return [first];
    },
    isRelay: (host) => listLocalRelays().includes(host),
    forwardReport: (received, sender, isNew) => {
      const { report } = received;
      const isFromOrigin = sender.senderAddress === report.peerAddress;
      const arrival = {
        isFromOrigin,
        originDataCentre: report.dataCentre,
        senderDataCentre: sender.senderDataCentre,
        localDataCentre: localHost.dataCentre,
      };
      if (sender.senderDataCentre === localHost.dataCentre && !isFromOrigin) {
        queue.dropForwarded(report, isLossy(sender));
      }
      // The first relay itself sends its own report to all hosts.
      const isOfFirstRelay = isFromOrigin && getLocalRelays()[0] === report.host;
      const scope = isOfFirstRelay ? "none" : decideForwarding(arrival);
      if (isNew && scope !== "none") {
        queue.enqueue({
          ...received,
          scope,
          rank: computeRank(),
          // A host that has waited for the first relay in vain sends its report to the others.
          waitedMs: isFromOrigin ? received.ageMs : 0,
        });
      }
    },
    recordForwarded: (identity, sender) => {
      if (sender.senderDataCentre !== localHost.dataCentre) {
        return;
      }
      // A relay that stands by has its own reports in the queue too.
      const isPartial = isLossy(sender);
      queue.dropForwarded(identity, isPartial);
      // Where a relay keeps all fields, only such a one confirms that the report has been forwarded.
      const isConfirmed = !isPartial || !hasLosslessRelay();
      if (identity.host === localHost.host && isConfirmed) {
        confirmation.recordForwarded(identity, sender.senderAddress);
      }
    },
    stop: () => {
      queue.stop();
      confirmation.stop();
    },
  };
}
