import type { Clock, Logger, Metrics } from "@crocussail/protocol";
import { rankByRendezvous } from "../common/rank_by_rendezvous.ts";
import type { FleetHosts, HostReport } from "../fleet_hosts/mod.ts";
import { mergeLimitObservations } from "../upstream_limits/mod.ts";
import type { LimitObservation } from "../upstream_limits/mod.ts";
import type { UpstreamRecord } from "../upstreams/mod.ts";
import { computeRoom } from "./compute_room.ts";
import { BRITTLE_LIMITS } from "./constants.ts";
import { createRoomQueue } from "./create_room_queue.ts";
import type { RoomRequest } from "./create_room_queue.ts";
import type { UpstreamRoom } from "./upstream_room.ts";

/** Options of {@link createBrittleUpstreams}. */
export interface BrittleUpstreamsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly localHost: string;
  readonly hosts: Pick<FleetHosts, "listLive" | "scheduleUrgentReport">;
  /** Whether this host may own upstreams of a service: it reaches them and does not drain. */
  readonly canOwn: (service: string) => boolean;
  /** Lists the upstreams of a service that accept requests. */
  readonly listUpstreams: (service: string) => readonly UpstreamRecord[];
  /** Counts this host's requests in flight at an upstream. */
  readonly countInFlight: (upstreamId: string) => number;
}

/**
 * Upstreams that fall over when they have to refuse too many requests. Each has one host that alone
 * sends requests to it, no more at once than it has room for; the others hand theirs to that host.
 */
export interface BrittleUpstreams {
  /** Adds what a response to this host says: refusals a second, undefined for a sturdy upstream. */
  recordObservation(upstream: UpstreamRecord, observation: LimitObservation): void;
  /** Adds what another host reports, sent `ageMs` ago. */
  acceptReport(report: Pick<HostReport, "brittle">, ageMs: number): void;
  listReported(): HostReport["brittle"];
  /**
   * Whether an upstream is brittle; one that has not said anything yet is if another one of its
   * service is.
   */
  isBrittle(upstream: UpstreamRecord): boolean;
  findOwner(upstream: UpstreamRecord): string;
  /** Whether this host owns the upstream and may send one more request to it. */
  hasRoom(upstream: UpstreamRecord): boolean;
  /** Waits for room at the upstreams that this host owns; see {@link RoomQueue}. */
  waitForRoom(service: string, request: RoomRequest): Promise<boolean>;
  countWaiting(service: string): number;
  /** Estimates when a request that comes now would have room, in milliseconds. */
  estimateWaitMs(service: string): number;
  /** Records the end of a request: `hasTrouble` if it was refused, or not answered. */
  recordEnd(upstream: UpstreamRecord, hasTrouble: boolean, tookMs: number): void;
  /** Ends waits that are over; forgets unknown upstreams. */
  tick(isKnown: (id: string) => boolean): void;
}

interface KnownUpstream extends LimitObservation {
  readonly startedAt: number;
}

interface CachedOwner {
  readonly host: string;
  readonly untilMs: number;
}

/** Creates the handling of brittle upstreams; empty until one says that it is. */
export function createBrittleUpstreams(options: BrittleUpstreamsOptions): BrittleUpstreams {
  const { clock, logger, metrics, localHost, hosts } = options;
  const known = new Map<string, KnownUpstream>();
  const reportUntilMs = new Map<string, number>();
  const rooms = new Map<string, UpstreamRoom>();
  const owners = new Map<string, CachedOwner>();
  const queue = createRoomQueue(clock.readMonotonicMs);
  let executionMs: number = BRITTLE_LIMITS.initialExecutionMs;

  const getKnown = ({ id, startedAt }: Pick<UpstreamRecord, "id" | "startedAt">) => {
    const found = known.get(id);
    return found?.startedAt === startedAt ? found : undefined;
  };
  const recordObservation = (
    { id, startedAt }: Pick<UpstreamRecord, "id" | "startedAt">,
    observation: LimitObservation,
  ) => {
    const former = known.get(id);
    if (former !== undefined && former.startedAt > startedAt) {
      return false;
    }
    const same = getKnown({ id, startedAt });
    const merged = same === undefined ? observation : mergeLimitObservations(same, observation);
    if (same === undefined && merged.perSecond === undefined) {
      return false; // sturdy, as all are that say nothing
    }
    known.set(id, { ...merged, startedAt });
    const wasBrittle = same?.perSecond !== undefined;
    const isBrittle = merged.perSecond !== undefined;
    if (wasBrittle !== isBrittle) {
      logger.writeEvent("upstreamBrittle", {
        upstream: id,
        refusalsPerSecond: merged.perSecond ?? "none",
      });
    }
    return wasBrittle !== isBrittle;
  };
  const isBrittle = (record: UpstreamRecord) => {
    if (known.size === 0) {
      return false;
    }
    const own = getKnown(record);
    return own === undefined
      ? options.listUpstreams(record.service)
        .some((other) => getKnown(other)?.perSecond !== undefined)
      : own.perSecond !== undefined;
  };
  const findOwner = ({ id, service }: UpstreamRecord) => {
    const nowMs = clock.readMonotonicMs();
    const cached = owners.get(id);
    if (cached !== undefined && cached.untilMs > nowMs) {
      return cached.host;
    }
    const others = hosts.listLive()
      .filter((report) =>
        report.isReady && !report.isLeaving && !report.unreachableServices.includes(service)
      )
      .map(({ host }) => host);
    const candidates = options.canOwn(service) ? [localHost, ...others] : others;
    const host = rankByRendezvous(id, candidates)[0] ?? localHost;
    owners.set(id, { host, untilMs: nowMs + BRITTLE_LIMITS.ownerCacheMs });
    return host;
  };
  const getRoom = (record: UpstreamRecord) => {
    const nowMs = clock.readMonotonicMs();
    const state = rooms.get(record.id);
    if (state?.startedAt === record.startedAt) {
      return computeRoom(state, record.slots, nowMs);
    }
    // One that has responded since its start runs at full load; a new one starts gradually.
    const room = getKnown(record) === undefined ? 1 : record.slots;
    rooms.set(record.id, { startedAt: record.startedAt, room, atMs: nowMs });
    return room;
  };
  const listOwned = (service: string) =>
    options.listUpstreams(service)
      .filter((record) => isBrittle(record) && findOwner(record) === localHost);
  const hasRoom = (record: UpstreamRecord) => options.countInFlight(record.id) < getRoom(record);
  const computeExpectedMs = (service: string, ahead: number) => {
    const room = listOwned(service).reduce((sum, record) => sum + getRoom(record), 0);
    return room === 0 ? Number.POSITIVE_INFINITY : (ahead + 1) * executionMs / room;
  };

  /** Gives the turn to as many waiting requests as there is room for. */
  const wakeWaiting = (service: string) => {
    const free = listOwned(service).reduce(
      (sum, record) => sum + Math.max(0, getRoom(record) - options.countInFlight(record.id)),
      0,
    );
    for (let count = 0; count < free; count++) {
      queue.wakeNext(service);
    }
  };

  return {
    recordObservation: (upstream, observation) => {
      const hasChanged = recordObservation(upstream, observation);
      if (hasChanged || observation.perSecond !== undefined) {
        reportUntilMs.set(upstream.id, clock.readMonotonicMs() + BRITTLE_LIMITS.reportMs);
      }
      if (hasChanged) {
        hosts.scheduleUrgentReport();
      }
    },
    acceptReport: ({ brittle }, ageMs) => {
      const nowMs = clock.readMonotonicMs() - ageMs;
      for (const [id, startedAt, perSecond, sentAgeMs, receivedAgeMs] of brittle) {
        recordObservation({ id, startedAt }, {
          perSecond: perSecond ?? undefined,
          sentAtMs: nowMs - sentAgeMs,
          receivedAtMs: nowMs - receivedAgeMs,
        });
      }
    },
    listReported: () => {
      const nowMs = clock.readMonotonicMs();
      return [...known].filter(([id]) => (reportUntilMs.get(id) ?? -Infinity) > nowMs)
        .slice(0, BRITTLE_LIMITS.maxReported)
        .map(([id, { startedAt, perSecond, sentAtMs, receivedAtMs }]) => [
          id,
          startedAt,
          perSecond ?? null,
          Math.max(0, Math.round(nowMs - sentAtMs)),
          Math.max(0, Math.round(nowMs - receivedAtMs)),
        ]);
    },
    isBrittle,
    findOwner,
    hasRoom: (record) => findOwner(record) === localHost && hasRoom(record),
    waitForRoom: (service, request) =>
      queue.waitForTurn(service, request, (ahead) => computeExpectedMs(service, ahead)),
    countWaiting: queue.count,
    estimateWaitMs: (service) => computeExpectedMs(service, queue.count(service)),
    recordEnd: (record, hasTrouble, tookMs) => {
      if (!isBrittle(record)) {
        return;
      }
      if (hasTrouble) {
        const room = Math.max(1, Math.floor(getRoom(record) / 2));
        const atMs = clock.readMonotonicMs();
        rooms.set(record.id, { startedAt: record.startedAt, room, atMs });
      } else {
        executionMs += BRITTLE_LIMITS.executionWeight * (tookMs - executionMs);
      }
      wakeWaiting(record.service);
    },
    tick: (isKnown) => {
      queue.expire();
      queue.listServices().forEach(wakeWaiting);
      for (const map of [known, reportUntilMs, rooms, owners]) {
        [...map.keys()].filter((id) => !isKnown(id)).forEach((id) => map.delete(id));
      }
      metrics.gauge(
        "upstreams.brittle",
        [...known.values()].filter(({ perSecond }) => perSecond !== undefined).length,
      );
    },
  };
}
