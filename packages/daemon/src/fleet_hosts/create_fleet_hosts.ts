import type { Clock, Logger, Metrics, Timer } from "@crocussail/protocol";
import type { DatagramSocket, OpenDatagramSocket } from "../adapters/datagram_socket.ts";
import { applyHostReport } from "./apply_host_report.ts";
import { computeReportInterval } from "./compute_report_interval.ts";
import { HOST_LIMITS } from "./constants.ts";
import { createHostNotices } from "./create_host_notices.ts";
import type { HostNotices } from "./create_host_notices.ts";
import { decodeHostReport } from "./decode_host_report.ts";
import { encodeHostReport } from "./encode_host_report.ts";
import { expireHosts } from "./expire_hosts.ts";
import type { HostReport } from "./host_report_schema.ts";
import type { HostState } from "./host_state.ts";
import { listLiveHosts } from "./list_live_hosts.ts";

/** Options of {@link createFleetHosts}. */
export interface FleetHostsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly openSocket: OpenDatagramSocket;
  readonly host: string;
  readonly peerAddress: string;
  readonly fleetKey: string;
  readonly seeds: readonly string[];
  /** Builds this host's report except for the fields that this slice sets. */
  readonly buildReport: () => Omit<HostReport, "sequence" | "intervalMs" | "peers" | "notices">;
  /** Receives each new report of another host. */
  readonly applyReport: (report: HostReport) => void;
}

/** The other hosts of the fleet. */
export interface FleetHosts extends Pick<HostNotices, "publishNotice" | "subscribeNotices"> {
  start(): Promise<void>;
  stop(): void;
  /** Sends a report after a short delay, for a change that other hosts need at once. */
  scheduleUrgentReport(): void;
  /**
   * Sends a report after a short delay in a small fleet; in a large fleet the change waits for the
   * next regular report.
   */
  scheduleReport(): void;
  setSeeds(seeds: readonly string[]): void;
  listLive(): HostReport[];
  /** Counts the hosts that may use the retry budget, this one included. */
  countHostsSharingRetryBudget(): number;
}

/** Creates the exchange of reports: every host sends its state to every other at short intervals. */
export function createFleetHosts(options: FleetHostsOptions): FleetHosts {
  const { clock, logger, metrics } = options;
  const state: HostState = { hosts: new Map(), addresses: new Map() };
  let seeds = new Set(options.seeds);
  let live = new Set<string>();
  let socket: DatagramSocket | undefined;
  let timer: Timer | undefined;
  let urgentReportTimer: Timer | undefined;
  let sequence = 0;
  let intervalMs: number = HOST_LIMITS.reportIntervalMs;
  let lastRetryMs = Number.NEGATIVE_INFINITY;
  let peerOffset = 0;
  let peerListTimer: Timer | undefined;
  const newAddresses = new Set<string>();

  const receive = (datagram: Uint8Array) => {
    const report = decodeHostReport(datagram, options.fleetKey);
    if (report === undefined) {
      metrics.increment("hosts.rejected");
      return;
    }
    // A restarted host knows only its seeds, so it is handled like a host without earlier reports.
    const isNew = state.hosts.get(report.host)?.report.incarnation !== report.incarnation;
    const hasRoom = state.addresses.size < HOST_LIMITS.maxHosts;
    const newPeers = hasRoom ? report.peers.filter((address) => !state.addresses.has(address)) : [];
    const isFromThisHost = report.peerAddress === options.peerAddress;
    if (isFromThisHost || !applyHostReport(state, report, clock.readMonotonicMs())) {
      return;
    }
    if (isNew || newPeers.length > 0) {
      schedulePeerList(isNew ? [report.peerAddress, ...newPeers] : newPeers);
    }
    notices.acceptNotices(report);
    options.applyReport(report);
  };

  const listRecentAddresses = () => {
    const nowMs = clock.readMonotonicMs();
    return [...state.hosts.values()]
      .filter(({ lastReportMs }) => nowMs - lastReportMs <= HOST_LIMITS.recentReportMs)
      .map(({ report }) => report.peerAddress);
  };
  const sendReport = (
    addresses: ReadonlySet<string>,
    content: { readonly isRegular: boolean; readonly peers: readonly string[] },
  ) => {
    sequence++;
    const built = options.buildReport();
    const datagram = encodeHostReport({
      ...built,
      conduct: content.isRegular ? built.conduct : null,
      sequence,
      intervalMs,
      notices: notices.listReported(),
      peers: [...content.peers],
    }, options.fleetKey);
    addresses.forEach((address) => {
      if (address !== options.peerAddress) {
        socket?.send(address, datagram);
      }
    });
  };
  const sendRegular = () => {
    const recent = listRecentAddresses();
    const start = recent.length === 0 ? 0 : peerOffset % recent.length;
    peerOffset += HOST_LIMITS.reportedPeers;
    const rotated = [...recent.slice(start), ...recent.slice(0, start)];
    const nowMs = clock.readMonotonicMs();
    const isRetryDue = nowMs - lastRetryMs >= HOST_LIMITS.addressRetryMs;
    lastRetryMs = isRetryDue ? nowMs : lastRetryMs;
    const retried = isRetryDue ? [...seeds, ...state.addresses.keys()] : [];
    sendReport(new Set([...recent, ...retried]), {
      isRegular: true,
      peers: rotated.slice(0, HOST_LIMITS.reportedPeers),
    });
  };
  const scheduleUrgentReport = () => {
    urgentReportTimer ??= clock.startTimer(HOST_LIMITS.reportDelayMs, () => {
      urgentReportTimer = undefined;
      sendReport(new Set(listRecentAddresses()), { isRegular: false, peers: [] });
    });
  };
  /** Sends this host's peers to newly seen hosts and addresses, which speeds up discovery. */
  const schedulePeerList = (addresses: readonly string[]) => {
    addresses.forEach((address) => newAddresses.add(address));
    peerListTimer ??= clock.startTimer(HOST_LIMITS.reportDelayMs, () => {
      peerListTimer = undefined;
      const peers = listRecentAddresses().slice(-HOST_LIMITS.peersForNewHost);
      sendReport(newAddresses, { isRegular: false, peers });
      newAddresses.clear();
    });
  };
  const notices = createHostNotices({ clock, host: options.host, scheduleUrgentReport });

  const recordLiveHosts = () => {
    const current = new Set(
      listLiveHosts(state, clock.readMonotonicMs()).map(({ host }) => host),
    );
    const joined = [...current].filter((host) => !live.has(host));
    joined.forEach((peer) => logger.writeEvent("hostJoined", { peer, live: current.size }));
    if (joined.length > 0) {
      notices.renewNotices();
    }
    [...live].filter((host) => !current.has(host))
      .forEach((peer) => logger.writeEvent("hostLost", { peer, live: current.size }));
    live = current;
    intervalMs = computeReportInterval(current.size + 1);
    metrics.gauge("hosts.live", current.size + 1);
  };

  const tick = () => {
    expireHosts(state, seeds, clock.readMonotonicMs());
    recordLiveHosts();
    sendRegular();
    timer = clock.startTimer(intervalMs, tick);
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
      socket?.close();
      socket = undefined;
    },
    scheduleUrgentReport,
    scheduleReport: () => {
      if (intervalMs <= HOST_LIMITS.reportIntervalMs) {
        scheduleUrgentReport();
      }
    },
    publishNotice: notices.publishNotice,
    subscribeNotices: notices.subscribeNotices,
    setSeeds: (next) => {
      seeds = new Set(next);
    },
    listLive: () => listLiveHosts(state, clock.readMonotonicMs()),
    countHostsSharingRetryBudget: () => {
      const nowMs = clock.readMonotonicMs();
      const hostsSharingBudget = [...state.hosts.values()].filter(({ lastReportMs }) =>
        nowMs - lastReportMs <= HOST_LIMITS.recentReportMs
      );
      return hostsSharingBudget.length + 1;
    },
  };
}
