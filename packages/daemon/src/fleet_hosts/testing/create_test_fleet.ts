import type { Clock, Logger, Metrics } from "@crocussail/protocol";
import { createManualClock } from "../../common/create_manual_clock.ts";
import { createSeededRandom } from "../../common/create_seeded_random.ts";
import { createFleetHosts } from "../create_fleet_hosts.ts";
import type { FleetHosts } from "../create_fleet_hosts.ts";
import type { AgedReport } from "../host_datagram.ts";
import type { HostReport } from "../host_report_schema.ts";
import { markIncarnation } from "../mark_incarnation.ts";
import { decodeAsFormerHost } from "./decode_as_former_host.ts";
import { encodeAsFormerHost } from "./encode_as_former_host.ts";

const STEP_MS = 2;
const LOSS_RATE = 0.01;
const SEEDS = 3;
const FLEET_KEY = "0123456789abcdef0123456789abcdef";
const DISCOVERY_MS = 3_000;
const LOGGER: Logger = { writeEvent: () => {} };
const METRICS: Metrics = { increment: () => {}, gauge: () => {}, distribution: () => {} };

/** Options of {@link createTestFleet}. */
export interface TestFleetOptions {
  readonly hosts: number;
  readonly dataCentres?: number;
  /** Time for which the fleet runs before it is returned. */
  readonly discoveryMs?: number;
  /** Share of the datagrams that are lost; 0.01 by default. */
  readonly lossRate?: number;
  /** Lists the limits that a host reports. */
  readonly listLimits?: (index: number) => HostReport["limits"];
  /** Returns what the build of a host knows; 1 by default. */
  readonly getProtocolVersion?: (index: number) => number;
  /** Whether a host is of the former build, which reads and forwards only the former fields. */
  readonly isFormerBuild?: (index: number) => boolean;
  /** Lists the cold upstreams that a host reports. */
  readonly listCold?: (index: number) => HostReport["cold"];
  /** Number of upstreams whose performance a host reports; by default 12, or 3 above 80 hosts. */
  readonly reportedUpstreams?: number;
  /** Called with each datagram that a host sends, also if it is lost. */
  readonly recordDatagram?: (sender: number, receiver: number, datagram: Uint8Array) => void;
  /** Calls what a host does on a datagram or timer, for measurements. */
  readonly runCall?: (cause: "datagram" | "timer", call: () => void) => void;
  /** Called when a host has received a new report. */
  readonly receiveReport?: (index: number, received: AgedReport) => void;
}

/** Creates hosts on one clock, and a network that delays by a step and loses a few datagrams. */
export async function createTestFleet(options: TestFleetOptions) {
  const count = options.hosts;
  const dataCentres = options.dataCentres ?? 1;
  const clock = createManualClock();
  const random = createSeededRandom(5);
  const sockets = new Map<string, (datagram: Uint8Array) => void>();
  const sent = { datagrams: 0, bytes: 0, betweenDataCentres: 0 };
  const loads = new Map<number, HostReport["loads"]>();
  const reportsByHost = new Map<number, Map<string, HostReport>>();
  /** Hosts of the former build, once for each datagram that they could not read. */
  const unread: number[] = [];
  const hosts: FleetHosts[] = [];
  const starts: ((incarnation: string) => FleetHosts)[] = [];
  /** Hosts whose datagrams are neither sent nor received. */
  const cut = new Set<number>();
  /** Parts of a fleet that is split: datagrams between different values are lost. */
  const parts = new Map<number, number>();
  /** Frozen hosts: what their timers and sockets would have called, in order. */
  const frozen = new Map<number, (() => void)[]>();
  const runCall = options.runCall ?? ((_cause: "datagram" | "timer", call: () => void) => call());
  const runUnlessFrozen = (index: number, call: () => void) => {
    const missed = frozen.get(index);
    missed === undefined ? call() : missed.push(call);
  };
  const createHostClock = (index: number): Clock => ({
    ...clock,
    startTimer: (delayMs, callback) => {
      let isCancelled = false;
      const timer = clock.startTimer(
        delayMs,
        () => runUnlessFrozen(index, () => isCancelled || runCall("timer", callback)),
      );
      return {
        cancel: () => {
          isCancelled = true;
          timer.cancel();
        },
      };
    },
  });
  const thaw = (index: number) => {
    const missed = frozen.get(index) ?? [];
    frozen.delete(index);
    missed.forEach((call) => call());
  };
  const getAddress = (index: number) => `10.0.${Math.floor(index / 250)}.${index % 250}:7200`;
  const getIndex = (address: string) => {
    const [, , high, low] = address.split(/[.:]/).map(Number);
    return (high ?? 0) * 250 + (low ?? 0);
  };
  for (let index = 0; index < count; index++) {
    const reports = new Map<string, HostReport>();
    reportsByHost.set(index, reports);
    const isFormer = options.isFormerBuild?.(index) === true;
    const protocolVersion = isFormer ? 0 : options.getProtocolVersion?.(index) ?? 1;
    const localHost = {
      host: `h${index}`,
      dataCentre: `dc${index % dataCentres}`,
      // Of the hosts of a data centre, every fifth one is larger.
      size: Math.floor(index / dataCentres) % 5 === 0 ? 2 : 1,
      protocolVersion,
    };
    const start = (incarnation: string) =>
      createFleetHosts({
        clock: createHostClock(index),
        random: createSeededRandom(index + 1),
        logger: LOGGER,
        metrics: METRICS,
        openSocket: (address, receive) => {
          sockets.set(address, (datagram) => {
            const read = isFormer ? decodeAsFormerHost(datagram, FLEET_KEY) : datagram;
            read === undefined ? unread.push(index) : receive(read);
          });
          return Promise.resolve({
            send: (target, encoded) => {
              const datagram = isFormer ? encodeAsFormerHost(encoded, FLEET_KEY) : encoded;
              sent.datagrams++;
              sent.bytes += datagram.length;
              const receiver = getIndex(target);
              options.recordDatagram?.(index, receiver, datagram);
              const isBetween = receiver % dataCentres !== index % dataCentres;
              sent.betweenDataCentres += isBetween ? datagram.length : 0;
              const isCut = cut.has(index) || cut.has(receiver) ||
                parts.get(index) !== parts.get(receiver);
              if (!isCut && random.nextFloat() >= (options.lossRate ?? LOSS_RATE)) {
                const receive = () => runCall("datagram", () => sockets.get(target)?.(datagram));
                clock.startTimer(STEP_MS, () => runUnlessFrozen(receiver, receive));
              }
            },
            close: () => sockets.delete(address),
          });
        },
        localHost,
        peerAddress: getAddress(index),
        fleetKey: FLEET_KEY,
        seeds: Array.from({ length: SEEDS }, (_, seed) => getAddress(seed)),
        handleJoined: () => {},
        buildReport: () => ({
          ...localHost,
          incarnation: options.isFormerBuild === undefined || isFormer
            ? incarnation
            : markIncarnation(incarnation, protocolVersion),
          callerAddress: getAddress(index),
          peerAddress: getAddress(index),
          isReady: true,
          isLeaving: false,
          settingsVersion: 1,
          settingsEra: 1,
          loads: loads.get(index) ?? [],
          conduct: Array.from(
            { length: options.reportedUpstreams ?? (count > 80 ? 3 : 12) },
            (_, upstream) => [`engine-${upstream}`, 5, 7, 0],
          ),
          leaving: [],
          upstreamsAgeMs: null,
          joined: [],
          limits: options.listLimits?.(index) ?? [],
          brittle: [],
          unreachableServices: [],
          evacuations: [],
          cold: options.listCold?.(index) ?? [],
          waiting: [],
        }),
        applyReport: (received) => {
          reports.set(received.report.host, received.report);
          options.receiveReport?.(index, received);
        },
      });
    starts.push(start);
    hosts.push(start("i1"));
  }
  const run = async (ms: number) => {
    for (let elapsed = 0; elapsed < ms; elapsed += STEP_MS) {
      clock.advance(STEP_MS);
    }
    await Promise.resolve();
  };
  /** Counts the hosts that have received a load of the given host. */
  const countHostsWithLoad = (index: number) =>
    [...reportsByHost].filter(([other, reports]) =>
      other !== index && reports.get(`h${index}`)?.loads.length === 1
    ).length;
  await Promise.all(hosts.map((host) => host.start()));
  await run(options.discoveryMs ?? DISCOVERY_MS);
  return {
    clock,
    hosts,
    starts,
    sent,
    unread,
    run,
    loads,
    reportsByHost,
    cut,
    parts,
    frozen,
    thaw,
    createHostClock,
    countHostsWithLoad,
  };
}
