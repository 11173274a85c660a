import type { Clock, Logger, Metrics, Timer } from "@crocussail/protocol";
import type { DatagramSocket, OpenDatagramSocket } from "../adapters/datagram_socket.ts";
import { applyHostReport } from "./apply_host_report.ts";
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
  readonly buildReport: () => Omit<HostReport, "sequence" | "peers" | "notices">;
  /** Receives each new report of another host. */
  readonly applyReport: (report: HostReport) => void;
}

/** The other hosts of the fleet. */
export interface FleetHosts extends Pick<HostNotices, "publishNotice" | "subscribeNotices"> {
  start(): Promise<void>;
  stop(): void;
  /** Reports soon, because something changed. */
  noteNews(): void;
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
  let rounds = 0;
  const noteNews = () => {
    newsTimer ??= clock.startTimer(HOST_LIMITS.newsDelayMs, () => {
      newsTimer = undefined;
      sendReport(false);
    });
  };
  const notices = createHostNotices({ clock, host: options.host, noteNews });

  const receive = (datagram: Uint8Array) => {
    const report = decodeHostReport(datagram, options.fleetKey);
    if (report === undefined) {
      metrics.increment("hosts.rejected");
      return;
    }
    const isOwn = report.peerAddress === options.peerAddress;
    if (!isOwn && applyHostReport(state, report, clock.readMonotonicMs())) {
      notices.acceptNotices(report);
      options.applyReport(report);
    }
  };

  const sendReport = (isRound: boolean) => {
    sequence++;
    const nowMs = clock.readMonotonicMs();
    const known = [...state.hosts.values()];
    const heard = new Set(
      known.filter(({ heardMs }) => nowMs - heardMs <= HOST_LIMITS.spenderMs)
        .map(({ report }) => report.peerAddress),
    );
    const start = heard.size === 0 ? 0 : sequence % heard.size;
    const peers = [...heard, ...heard].slice(start, start + HOST_LIMITS.reportedPeers);
    const report = {
      ...options.buildReport(),
      sequence,
      notices: notices.listReported(),
      peers: [...new Set(peers)],
    };
    const datagram = encodeHostReport(report, options.fleetKey);
    const isForSilent = isRound && rounds % HOST_LIMITS.silentAddressEvery === 0;
    for (const address of new Set([...heard, ...seeds, ...state.addresses.keys()])) {
      if (address !== options.peerAddress && (heard.has(address) || isForSilent)) {
        socket?.send(address, datagram);
      }
    }
  };

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
    metrics.gauge("hosts.live", now.size + 1);
  };

  const tick = () => {
    expireHosts(state, seeds, clock.readMonotonicMs());
    noteChanges();
    sendReport(true);
    rounds++;
    timer = clock.startTimer(HOST_LIMITS.reportIntervalMs, tick);
  };

  return {
    start: async () => {
      socket = await options.openSocket(options.peerAddress, receive);
      tick();
    },
    stop: () => {
      timer?.cancel();
      newsTimer?.cancel();
      socket?.close();
      socket = undefined;
    },
    noteNews,
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
