import type { Clock, Logger, Metrics, RandomSource, Timer } from "@crocussail/protocol";
import type { DatagramSocket, OpenDatagramSocket } from "../adapters/datagram_socket.ts";
import { applyHostReport } from "./apply_host_report.ts";
import { computeReportInterval } from "./compute_report_interval.ts";
import { HOST_LIMITS } from "./constants.ts";
import { countLiveHosts } from "./count_live_hosts.ts";
import { countInDataCentre } from "./count_in_data_centre.ts";
import { createHostNotices } from "./create_host_notices.ts";
import type { HostNotices } from "./create_host_notices.ts";
import { createHostRelay } from "./create_host_relay.ts";
import { createReportSender } from "./create_report_sender.ts";
import { decodeHostDatagram } from "./decode_host_datagram.ts";
import { encodeHostDatagram } from "./encode_host_datagram.ts";
import { expireHosts } from "./expire_hosts.ts";
import { hasFewHosts } from "./has_few_hosts.ts";
import type { AgedReport, HostDatagram } from "./host_datagram.ts";
import type { HostMessage } from "./host_message.ts";
import type { HostReport } from "./host_report_schema.ts";
import type { HostState } from "./host_state.ts";
import { listCompressionReaders } from "./list_compression_readers.ts";
import { listLiveHosts } from "./list_live_hosts.ts";
import { listRecentHosts } from "./list_recent_hosts.ts";
import type { RelayCandidate } from "./rank_relays.ts";
import type { ReportIdentity } from "./read_report_identity.ts";
import { selectRandom } from "./select_random.ts";
import { selectReportsForHost } from "./select_reports_for_host.ts";

/** Options of {@link createFleetHosts}. */
export interface FleetHostsOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly openSocket: OpenDatagramSocket;
  /** Name, data centre, size and protocol version of this host. */
  readonly localHost: RelayCandidate;
  readonly peerAddress: string;
  readonly fleetKey: string;
  readonly seeds: readonly string[];
  /** Builds this host's report except for the fields that this slice sets. */
  readonly buildReport: () => LocalReport;
  /** Receives each new report of another host and its age. */
  readonly applyReport: (received: AgedReport) => void;
  /** Called when other hosts have joined, returned or restarted. */
  readonly handleJoined: () => void;
}

/** A report without the fields that this slice sets. */
export type LocalReport = Omit<
  HostReport,
  "sequence" | "intervalMs" | "peers" | "notices" | "knownHosts" | "knownInDataCentre"
>;

/** Receives the payload of a message and the peer address of its sender. */
export type MessageListener = (payload: unknown, senderAddress: string) => void;

/** The other hosts of the fleet. */
export interface FleetHosts extends Pick<HostNotices, "publishNotice" | "subscribeNotices"> {
  start(): Promise<void>;
  stop(): void;
  /** Sends a report after a short delay, for a change that other hosts need at once. */
  scheduleUrgentReport(): void;
  /** Sends a report after a short delay in a small fleet, a longer one in a large fleet. */
  scheduleReport(): void;
  setSeeds(seeds: readonly string[]): void;
  listLive(): HostReport[];
  /** Sends a message to a host's peer address; it may be lost. */
  sendMessage(address: string, message: HostMessage): void;
  /** Registers the receiver of the messages of a topic. */
  subscribeMessages(topic: string, listener: MessageListener): void;
  /**
   * Counts the hosts that have been live within the last minute and have not reported that they
   * leave, this one included.
   */
  countRecent(): number;
  /** Counts the hosts that may use the retry budget, this one included. */
  countHostsSharingRetryBudget(): number;
}

/**
 * Creates the exchange of reports. In a small fleet every host sends its state to every other at
 * short intervals; in a large one relays forward it.
 */
export function createFleetHosts(options: FleetHostsOptions): FleetHosts {
  const { clock, random, logger, metrics, localHost } = options;
  const state: HostState = { hosts: new Map(), addresses: new Map() };
  const newAddresses = new Set<string>();
  const messageListeners = new Map<string, MessageListener>();
  const knownReportsSentMs = new Map<string, number>();
  let seeds = new Set(options.seeds);
  let live = new Set<string>();
  let socket: DatagramSocket | undefined;
  let timer: Timer | undefined;
  let urgentReportTimer: Timer | undefined;
  let peerListTimer: Timer | undefined;
  let sequence = 0;
  let intervalMs: number = HOST_LIMITS.reportIntervalMs;
  let lastRegularMs = Number.NEGATIVE_INFINITY;
  let lastRetryMs = Number.NEGATIVE_INFINITY;
  let isReportBroughtForward = false;
  let peerOffset = 0;
  let localIncarnation: string | undefined;

  const localSender = { address: options.peerAddress, dataCentre: localHost.dataCentre };

  const listLive = () => listLiveHosts(state, clock.readMonotonicMs());
  const listRecent = () => listRecentHosts(state, clock.readMonotonicMs());
  const listRecentAddresses = () => listRecent().map(({ peerAddress }) => peerAddress);
  const isMesh = () => Math.max(state.addresses.size, state.hosts.size) <= HOST_LIMITS.maxMeshHosts;

  const { sendReports } = createReportSender({
    sender: localSender,
    fleetKey: options.fleetKey,
    sendDatagram: (address, datagram) => socket?.send(address, datagram),
    listCompressionReaders: () => listCompressionReaders(state),
  });
  const relay = createHostRelay({ clock, localHost, listLive, listRecent, sendReports });
  const notices = createHostNotices({
    clock,
    host: localHost.host,
    scheduleUrgentReport: () => scheduleUrgentReport(),
  });

  /**
   * Whether a report is this host's own or not newer than the stored one. A report that its host
   * sent itself is always decoded, as that host may need the reports of others.
   */
  const isKnown = ({ host, incarnation, sequence }: ReportIdentity, senderAddress: string) => {
    if (host === localHost.host) {
      return incarnation === localIncarnation;
    }
    const known = state.hosts.get(host);
    const report = known?.report;
    return report?.incarnation === incarnation && report.peerAddress !== senderAddress &&
      (report.sequence > sequence || (report.sequence === sequence && known?.isPartial !== true));
  };
  const receive = (bytes: Uint8Array) => {
    const datagram = decodeHostDatagram(bytes, options.fleetKey, isKnown);
    if (datagram === undefined) {
      metrics.increment("hosts.rejected");
      return;
    }
    datagram.known?.forEach((identity) => relay.recordForwarded(identity, datagram));
    datagram.reports.forEach((received) => acceptReport(received, datagram));
    for (const { topic, payload } of datagram.messages) {
      messageListeners.get(topic)?.(payload, datagram.senderAddress);
    }
  };
  const acceptReport = (received: AgedReport, sender: HostDatagram) => {
    const { report, ageMs, isPartial } = received;
    if (report.peerAddress === options.peerAddress) {
      return;
    }
    // A restarted host knows only its seeds, so it is handled like a host without earlier reports.
    const isNew = state.hosts.get(report.host)?.report.incarnation !== report.incarnation;
    const hasRoom = state.addresses.size < HOST_LIMITS.maxHosts;
    const newPeers = hasRoom ? report.peers.filter((address) => !state.addresses.has(address)) : [];
    const isStored = applyHostReport(state, report, clock.readMonotonicMs() - ageMs, isPartial);
    if (isMesh()) {
      if (isStored && (isNew || newPeers.length > 0)) {
        schedulePeerList(isNew ? [report.peerAddress, ...newPeers] : newPeers);
      }
    } else {
      if (sender.senderAddress === report.peerAddress) {
        sendKnownReports(report);
      }
      relay.forwardReport(received, sender, isStored);
    }
    if (!isStored) {
      return;
    }
    if (isNew && !isMesh() && relay.isRelay(report.host)) {
      scheduleUrgentReport(); // this host's reports have not reached the new relay yet
    }
    if (isNew) {
      // One that restarts at once has been live all the time, but its new process knows nothing.
      notices.renewNotices();
      options.handleJoined();
    }
    notices.acceptNotices(report, ageMs);
    options.applyReport(received);
  };

  const buildReport = (isRegular: boolean, peers: readonly string[] = []): HostReport => {
    sequence++;
    const known = listLive();
    const built = options.buildReport();
    localIncarnation = built.incarnation;
    return {
      ...built,
      conduct: isRegular ? built.conduct : null,
      sequence,
      intervalMs,
      knownHosts: known.length + 1,
      knownInDataCentre: countInDataCentre(known, localHost.dataCentre) + 1,
      notices: notices.listReported(),
      peers: [...peers],
    };
  };
  const sendOwnReport = (report: HostReport, additional: Iterable<string> = []) => {
    const addresses = isMesh() ? listRecentAddresses() : relay.distributeReport(report);
    sendReports([...new Set([...addresses, ...additional])], [{ report, ageMs: 0 }]);
  };
  /** Lists addresses beyond those of the known hosts or relays that the next report is sent to. */
  const listRetriedAddresses = (): Iterable<string> => {
    const nowMs = clock.readMonotonicMs();
    if (nowMs - lastRetryMs < HOST_LIMITS.addressRetryMs) {
      return [];
    }
    lastRetryMs = nowMs;
    if (isMesh()) {
      return [...seeds, ...state.addresses.keys()];
    }
    const recent = listRecentAddresses();
    const silent = [...state.addresses.keys()].filter((address) => !recent.includes(address));
    return [
      ...selectRandom([...seeds], 1, random),
      ...selectRandom(recent, 1, random),
      ...selectRandom(silent, HOST_LIMITS.retriedAddresses, random),
    ];
  };
  const sendRegular = () => {
    const recent = isMesh() ? listRecentAddresses() : [];
    const start = recent.length === 0 ? 0 : peerOffset % recent.length;
    peerOffset += HOST_LIMITS.reportedPeers;
    const peers = [...recent.slice(start), ...recent.slice(0, start)]
      .slice(0, HOST_LIMITS.reportedPeers);
    sendOwnReport(buildReport(true, peers), listRetriedAddresses());
  };
  const scheduleUrgentReport = () => {
    urgentReportTimer ??= clock.startTimer(HOST_LIMITS.reportDelayMs, () => {
      urgentReportTimer = undefined;
      sendOwnReport(buildReport(false));
    });
  };
  /** Sends this host's peers to newly seen hosts and addresses, which speeds up discovery. */
  const schedulePeerList = (addresses: readonly string[]) => {
    addresses.forEach((address) => newAddresses.add(address));
    peerListTimer ??= clock.startTimer(HOST_LIMITS.reportDelayMs, () => {
      peerListTimer = undefined;
      const peers = listRecentAddresses().slice(-HOST_LIMITS.peersForNewHost);
      if (isMesh()) {
        sendReports([...newAddresses], [{ report: buildReport(false, peers), ageMs: 0 }]);
      }
      newAddresses.clear();
    });
  };
  /** Sends reports of other hosts to a host that knows fewer of them. */
  const sendKnownReports = (target: HostReport) => {
    const nowMs = clock.readMonotonicMs();
    const known = countLiveHosts(state, target.dataCentre, nowMs);
    const inDataCentre = known.inDataCentre + (target.dataCentre === localHost.dataCentre ? 1 : 0);
    const sentMs = knownReportsSentMs.get(target.peerAddress) ?? Number.NEGATIVE_INFINITY;
    if (
      !hasFewHosts(target, { hosts: known.hosts + 1, inDataCentre }) ||
      nowMs - sentMs < HOST_LIMITS.knownReportsIntervalMs
    ) {
      return;
    }
    knownReportsSentMs.set(target.peerAddress, nowMs);
    const reports = selectReportsForHost(listLive(), target).map((report) => {
      const { lastReportMs = nowMs, isPartial = false } = state.hosts.get(report.host) ?? {};
      return { report, ageMs: nowMs - lastReportMs, isPartial };
    });
    sendReports([target.peerAddress], [{ report: buildReport(false), ageMs: 0 }, ...reports]);
  };

  const recordLiveHosts = () => {
    const current = new Set(listLive().map(({ host }) => host));
    const joined = [...current].filter((host) => !live.has(host));
    joined.forEach((peer) => logger.writeEvent("hostJoined", { peer, live: current.size }));
    if (joined.length > 0) {
      notices.renewNotices();
      options.handleJoined(); // one that was cut off may have missed what was reported meanwhile
    }
    [...live].filter((host) => !current.has(host))
      .forEach((peer) => logger.writeEvent("hostLost", { peer, live: current.size }));
    live = current;
    intervalMs = computeReportInterval(current.size + 1);
    metrics.gauge("hosts.live", current.size + 1);
  };

  const updateHosts = () => {
    const nowMs = clock.readMonotonicMs();
    expireHosts(state, seeds, nowMs);
    for (const [address, sentMs] of knownReportsSentMs) {
      if (nowMs - sentMs > HOST_LIMITS.knownReportsIntervalMs) {
        knownReportsSentMs.delete(address);
      }
    }
    recordLiveHosts();
    isReportBroughtForward = false;
    lastRegularMs = nowMs;
    sendRegular();
  };
  const tick = () => {
    try {
      updateHosts();
    } finally {
      timer = clock.startTimer(intervalMs, tick);
    }
  };
  const bringReportForward = () => {
    const elapsedMs = clock.readMonotonicMs() - lastRegularMs;
    const isSoon = intervalMs - elapsedMs <= HOST_LIMITS.changeDelayMs;
    if (isReportBroughtForward || isSoon || timer === undefined) {
      return;
    }
    isReportBroughtForward = true;
    timer.cancel();
    timer = clock.startTimer(HOST_LIMITS.changeDelayMs, tick);
  };

  return {
    start: async () => {
      socket = await options.openSocket(options.peerAddress, receive);
      tick();
    },
    stop: () => {
      timer?.cancel();
      urgentReportTimer?.cancel();
      peerListTimer?.cancel();
      relay.stop();
      socket?.close();
      socket = undefined;
    },
    scheduleUrgentReport,
    scheduleReport: () => isMesh() ? scheduleUrgentReport() : bringReportForward(),
    publishNotice: notices.publishNotice,
    subscribeNotices: notices.subscribeNotices,
    setSeeds: (next) => {
      seeds = new Set(next);
    },
    listLive,
    sendMessage: (address, message) =>
      socket?.send(address, encodeHostDatagram(localSender, [], options.fleetKey, [message])),
    subscribeMessages: (topic, listener) => messageListeners.set(topic, listener),
    countRecent: () =>
      [...state.hosts.values()].filter(({ report }) => !report.isLeaving).length + 1,
    countHostsSharingRetryBudget: () => listRecent().length + 1,
  };
}
