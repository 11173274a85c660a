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
  /** Builds this host's report, but for the fields that this slice keeps. */
  readonly buildReport: () => Omit<HostReport, "sequence" | "intervalMs" | "peers" | "notices">;
  /** Receives each new report of another host. */
  readonly applyReport: (report: HostReport) => void;
}

/** The other hosts of the fleet. */
export interface FleetHosts extends Pick<HostNotices, "publishNotice" | "subscribeNotices"> {
  start(): Promise<void>;
  stop(): void;
  /** Reports soon, because something changed. */
  noteNews(): void;
  /** Reports soon in a small fleet; in a large one the next regular report is soon enough. */
  noteChange(): void;
  setSeeds(seeds: readonly string[]): void;
  listLive(): HostReport[];
  /** Hosts that may be spending the retry budget, this one included. */
  countSpenders(): number;
}

/** Creates the exchange of reports: every host tells every other its state at short intervals. */
export function createFleetHosts(options: FleetHostsOptions): FleetHosts {
  const { clock, logger, metrics } = options;
  const state: HostState = { hosts: new Map(), addresses: new Map() };
  let seeds = new Set(options.seeds);
  let live = new Set<string>();
  let socket: DatagramSocket | undefined;
  let timer: Timer | undefined;
  let newsTimer: Timer | undefined;
  let sequence = 0;
  let intervalMs: number = HOST_LIMITS.reportIntervalMs;
  let silentTriedMs = Number.NEGATIVE_INFINITY;
  let peerTurn = 0;
  let greetingTimer: Timer | undefined;
  const strangers = new Set<string>();

  const receive = (datagram: Uint8Array) => {
    const report = decodeHostReport(datagram, options.fleetKey);
    if (report === undefined) {
      metrics.increment("hosts.rejected");
      return;
    }
    // A host that starts again knows its seeds only, as one that starts for the first time.
    const isNew = state.hosts.get(report.host)?.report.incarnation !== report.incarnation;
    const hasRoom = state.addresses.size < HOST_LIMITS.maxHosts;
    const named = hasRoom ? report.peers.filter((address) => !state.addresses.has(address)) : [];
    const isOwn = report.peerAddress === options.peerAddress;
    if (isOwn || !applyHostReport(state, report, clock.readMonotonicMs())) {
      return;
    }
    if (isNew || named.length > 0) {
      noteStrangers(isNew ? [report.peerAddress, ...named] : named);
    }
    notices.acceptNotices(report);
    options.applyReport(report);
  };

  const listHeard = () => {
    const nowMs = clock.readMonotonicMs();
    return [...state.hosts.values()]
      .filter(({ heardMs }) => nowMs - heardMs <= HOST_LIMITS.spenderMs)
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
    const heard = listHeard();
    const start = heard.length === 0 ? 0 : peerTurn % heard.length;
    peerTurn += HOST_LIMITS.reportedPeers;
    const turn = [...heard.slice(start), ...heard.slice(0, start)];
    const nowMs = clock.readMonotonicMs();
    const isForSilent = nowMs - silentTriedMs >= HOST_LIMITS.silentAddressMs;
    silentTriedMs = isForSilent ? nowMs : silentTriedMs;
    const silent = isForSilent ? [...seeds, ...state.addresses.keys()] : [];
    sendReport(new Set([...heard, ...silent]), {
      isRegular: true,
      peers: turn.slice(0, HOST_LIMITS.reportedPeers),
    });
  };
  const noteNews = () => {
    newsTimer ??= clock.startTimer(HOST_LIMITS.newsDelayMs, () => {
      newsTimer = undefined;
      sendReport(new Set(listHeard()), { isRegular: false, peers: [] });
    });
  };
  /** Tells hosts and addresses that are new here whom this host knows, so that all meet soon. */
  const noteStrangers = (addresses: readonly string[]) => {
    addresses.forEach((address) => strangers.add(address));
    greetingTimer ??= clock.startTimer(HOST_LIMITS.newsDelayMs, () => {
      greetingTimer = undefined;
      const peers = listHeard().slice(-HOST_LIMITS.greetedPeers);
      sendReport(strangers, { isRegular: false, peers });
      strangers.clear();
    });
  };
  const notices = createHostNotices({ clock, host: options.host, noteNews });

  const noteChanges = () => {
    const now = new Set(
      listLiveHosts(state, clock.readMonotonicMs()).map(({ host }) => host),
    );
    const joined = [...now].filter((host) => !live.has(host));
    joined.forEach((peer) => logger.writeEvent("hostJoined", { peer, live: now.size }));
    if (joined.length > 0) {
      notices.renewNotices();
    }
    [...live].filter((host) => !now.has(host))
      .forEach((peer) => logger.writeEvent("hostLost", { peer, live: now.size }));
    live = now;
    intervalMs = computeReportInterval(now.size + 1);
    metrics.gauge("hosts.live", now.size + 1);
  };

  const tick = () => {
    expireHosts(state, seeds, clock.readMonotonicMs());
    noteChanges();
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
      newsTimer?.cancel();
      greetingTimer?.cancel();
      socket?.close();
      socket = undefined;
    },
    noteNews,
    noteChange: () => {
      if (intervalMs <= HOST_LIMITS.reportIntervalMs) {
        noteNews();
      }
    },
    publishNotice: notices.publishNotice,
    subscribeNotices: notices.subscribeNotices,
    setSeeds: (next) => {
      seeds = new Set(next);
    },
    listLive: () => listLiveHosts(state, clock.readMonotonicMs()),
    countSpenders: () => {
      const nowMs = clock.readMonotonicMs();
      const spenders = [...state.hosts.values()].filter(({ heardMs }) =>
        nowMs - heardMs <= HOST_LIMITS.spenderMs
      );
      return spenders.length + 1;
    },
  };
}
