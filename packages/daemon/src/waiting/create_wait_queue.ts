import type { Logger, Metrics, RandomSource } from "@crocussail/protocol";
import { computeRoomRetryAfter } from "./compute_room_retry_after.ts";
import { WAITING_LIMITS } from "./constants.ts";
import { createHeadBounds } from "./create_head_bounds.ts";
import type { FleetWaiting, WaitingReport } from "./create_fleet_waiting.ts";
import { createUrgentShare } from "./create_urgent_share.ts";
import type { RoomRate } from "./create_room_rate.ts";
import { estimateStart } from "./estimate_start.ts";
import { hasRoom } from "./has_room.ts";
import { isPrecededBy } from "./is_preceded_by.ts";
import { orderWaiting } from "./order_waiting.ts";
import { recordShare } from "./record_share.ts";
import { reserveRoom } from "./reserve_room.ts";
import type { EngineRoom } from "./reserve_room.ts";
import type { ShareState } from "./share_state.ts";
import { updateShare } from "./update_share.ts";
import type { WaitQueueEntry } from "./wait_queue_entry.ts";
import type { WaitingHead } from "./waiting_head.ts";
import type { WaitingRequest } from "./waiting_request.ts";

/** Options of {@link createWaitQueue}. */
export interface WaitQueueOptions {
  readonly random: RandomSource;
  readonly logger: Pick<Logger, "writeEvent">;
  readonly metrics: Pick<Metrics, "increment" | "gauge">;
  /** Engines of a service as this host knows them now; undefined for a service without engines. */
  readonly listRoom: (service: string) => EngineRoom | undefined;
  readonly fleet: Pick<FleetWaiting, "listHeads">;
  readonly roomRate: Pick<RoomRate, "getTokensPerMs">;
  /** Reports what waits to the other hosts. */
  readonly reportChange: () => void;
}

/** Bounded queue of this host's requests that wait for room on an upstream. */
export interface WaitQueue {
  /** Whether requests of a service wait here or at another host. */
  isContested(service: string, nowMs: number): boolean;
  /** Places a new request if it fits beside those that wait and precede it. */
  placeNew(entry: WaitQueueEntry, nowMs: number): boolean;
  /** Returns false when the queue is full. */
  add(entry: WaitQueueEntry): boolean;
  /** Records the start of any request, one that did not wait included. */
  recordStart(request: Pick<WaitingRequest, "priority" | "memoryTokens">, nowMs: number): void;
  /**
   * Places at most one request, expires those that have waited too long and refuses those that
   * cannot start in their time. Only one is placed at a time, so that the other hosts learn of this
   * placement before this host uses more of the same free capacity.
   */
  expireAndPlaceNext(nowMs: number): void;
  /** Lists what waits, for this host's report. */
  listReported(nowMs: number): WaitingReport["waiting"];
  count(): number;
}

/** A queued request and what has been decided of it so far. */
interface QueuedRequest extends WaitingRequest {
  readonly entry: WaitQueueEntry;
  /** Time at which it first reserved room. */
  reservedSinceMs: number | undefined;
  wasDeferred: boolean;
}

/** Room beside the preceding requests of this host, and of all hosts. */
interface Rooms {
  local: EngineRoom;
  fleet: EngineRoom;
  localReserved: number;
  fleetReserved: number;
}

/** Creates an empty queue. It absorbs short bursts of load beyond the engines' capacity. */
export function createWaitQueue(options: WaitQueueOptions): WaitQueue {
  const { logger, metrics, fleet, random } = options;
  const shares: ShareState = { tokens: new Map() };
  const reportedPriorities = new Set<number>();
  const urgentShare = createUrgentShare();
  const headBounds = createHeadBounds();
  let queued: QueuedRequest[] = [];
  let placements = 0;
  let lastReported = "";
  let lastReportMs = Number.NEGATIVE_INFINITY;

  const order = (requests: readonly QueuedRequest[], room: EngineRoom, nowMs: number) =>
    orderWaiting(requests, {
      nowMs,
      tokensPerMs: Math.max(...room.candidates.map(({ conduct }) => conduct.tokensPerMs)),
      shares,
      isLateTurn: placements % WAITING_LIMITS.lateTurnInterval ===
        WAITING_LIMITS.lateTurnInterval - 1,
    });

  /** Reserves room of a request of this host, for a bounded time if it does not fit now. */
  const reserveOwn = (rooms: Rooms, request: QueuedRequest, nowMs: number) => {
    const since = request.reservedSinceMs;
    if (since !== undefined && nowMs - since > WAITING_LIMITS.reserveMs) {
      return;
    }
    const own = reserveRoom(rooms.local, request.memoryTokens);
    if (own.doesFit || rooms.localReserved < countReservable(rooms.local)) {
      rooms.local = own.room;
      rooms.localReserved += Number(!own.doesFit);
    }
    const shared = reserveRoom(rooms.fleet, request.memoryTokens);
    if (!shared.doesFit && rooms.fleetReserved >= countReservable(rooms.fleet)) {
      return;
    }
    rooms.fleet = shared.room;
    rooms.fleetReserved += Number(!shared.doesFit);
    if (since === undefined && !shared.doesFit && shared.upstreamId !== undefined) {
      request.reservedSinceMs = nowMs;
      metrics.increment("waiting.reserved", 1);
      logger.writeEvent("roomReserved", {
        request: request.entry.requestId,
        upstream: shared.upstreamId,
        memoryTokens: Math.round(request.memoryTokens),
      });
    }
  };
  const reserveForHead = (rooms: Rooms, head: WaitingHead, nowMs: number) => {
    const shared = reserveRoom(rooms.fleet, head.memoryTokens);
    if (!headBounds.isInForce(head, shared.doesFit, nowMs)) {
      return;
    }
    if (shared.doesFit || rooms.fleetReserved < countReservable(rooms.fleet)) {
      rooms.fleet = shared.room;
      rooms.fleetReserved += Number(!shared.doesFit);
    }
  };

  const tryPlace = (request: QueuedRequest, isLate: boolean, rooms: Rooms, nowMs: number) => {
    const { candidates } = rooms.fleet;
    if (!request.entry.isWaiting() || request.entry.tryPlace({ candidates, isLate })) {
      return true;
    }
    const isDeferred = hasRoom(rooms.local, request.memoryTokens) &&
      !hasRoom(rooms.fleet, request.memoryTokens);
    if (isDeferred && !request.wasDeferred) {
      request.wasDeferred = true;
      metrics.increment("waiting.deferred", 1);
      logger.writeEvent("requestDeferred", {
        request: request.entry.requestId,
        priority: request.priority,
        waitedMs: Math.round(nowMs - request.arrivedAtMs),
      });
    }
    return false;
  };

  /**
   * Goes through the requests of a service in order, until one is placed; those that are not placed
   * keep their room from the later ones. With `only`, no other request is tried.
   */
  const placeFirst = (
    service: string,
    room: EngineRoom | undefined,
    requests: readonly QueuedRequest[],
    nowMs: number,
    only?: QueuedRequest,
  ): QueuedRequest | undefined => {
    if (room === undefined || room.candidates.length === 0) {
      const isPlaced = (request: QueuedRequest) =>
        request.entry.tryPlace({ candidates: [], isLate: false });
      return only === undefined ? requests.find(isPlaced) : isPlaced(only) ? only : undefined;
    }
    const rooms: Rooms = { local: room, fleet: room, localReserved: 0, fleetReserved: 0 };
    let heads = fleet.listHeads(service, nowMs, 2 * WAITING_LIMITS.reportAgeMs);
    for (const { request, isLate } of order(requests, room, nowMs)) {
      const preceding = heads.filter((head) => isPrecededBy(request, isLate, head, nowMs));
      heads = heads.filter((head) => !preceding.includes(head));
      preceding.forEach((head) => reserveForHead(rooms, head, nowMs));
      const isTried = only === undefined || only === request;
      if (isTried && tryPlace(request, isLate, rooms, nowMs)) {
        return request;
      }
      if (only === request) {
        return undefined;
      }
      reserveOwn(rooms, request, nowMs);
    }
    return undefined;
  };
  const recordPlaced = (request: QueuedRequest) => {
    placements++;
    recordShare(shares, request);
  };

  /** Refuses the requests that cannot start before they expire. */
  const refuseHopeless = (service: string, room: EngineRoom | undefined, nowMs: number) => {
    const tokensPerMs = options.roomRate.getTokensPerMs(service, nowMs);
    if (tokensPerMs === undefined || room === undefined || room.candidates.length === 0) {
      return;
    }
    const heads = fleet.listHeads(service, nowMs, WAITING_LIMITS.countedReportMs);
    const own = queued.filter((request) => request.service === service);
    const refused = new Set<QueuedRequest>();
    const aheadTokens = new Map<number, number>();
    for (const { request, isLate, slackMs } of order(own, room, nowMs)) {
      const startMs = estimateStart(request, {
        ...{ isLate, aheadTokens, heads, tokensPerMs, nowMs },
        urgentShare: urgentShare.getShareBefore(request.priority, nowMs),
      });
      const leftMs = isLate ? request.expiresAtMs - nowMs : slackMs * WAITING_LIMITS.maxStartShare;
      if (startMs <= leftMs) {
        const { priority, memoryTokens } = request;
        aheadTokens.set(priority, (aheadTokens.get(priority) ?? 0) + memoryTokens);
        continue;
      }
      refused.add(request);
      const retryAfterMs = computeRoomRetryAfter(startMs, random);
      metrics.increment("waiting.refusedEarly", 1);
      logger.writeEvent("requestRefusedEarly", {
        request: request.entry.requestId,
        priority: request.priority,
        startMs: Math.round(startMs),
        leftMs: Math.round(leftMs),
        tokensPerMs: Math.round(tokensPerMs * 10) / 10,
        retryAfterMs,
      });
      request.entry.refuse(retryAfterMs);
    }
    queued = queued.filter((request) => !refused.has(request));
  };
  const expire = (nowMs: number) => {
    const expired = queued.filter(({ expiresAtMs }) => nowMs >= expiresAtMs);
    queued = queued.filter((request) => !expired.includes(request));
    expired.forEach(({ entry }) => entry.expire());
  };

  const listReported = (nowMs: number): WaitingReport["waiting"] => {
    const groups = new Map<string, QueuedRequest[]>();
    for (const request of queued) {
      const key = `${request.priority} ${request.service}`;
      groups.set(key, [...groups.get(key) ?? [], request]);
    }
    const isReserving = ({ reservedSinceMs }: QueuedRequest) =>
      reservedSinceMs === undefined || nowMs - reservedSinceMs <= WAITING_LIMITS.reserveMs;
    return [...groups.values()]
      .sort(([left], [right]) => (left?.priority ?? 0) - (right?.priority ?? 0))
      .slice(0, WAITING_LIMITS.maxReported)
      .flatMap((group) => {
        const inTime = group.filter((each) => nowMs <= each.targetAtMs && isReserving(each));
        const first = (inTime.length > 0 ? inTime : group).reduce((oldest, each) =>
          each.arrivedAtMs < oldest.arrivedAtMs ? each : oldest
        );
        const tokens = isReserving(first) ? Math.round(first.memoryTokens) : 0;
        const ageMs = Math.max(0, Math.round(nowMs - first.arrivedAtMs));
        return [[first.service, first.priority, group.length, tokens, ageMs] as const];
      });
  };
  /**
   * Reports a new first request, and repeats the report while it is among the first of the fleet:
   * the other hosts defer to it for two report ages.
   */
  const reportFirst = (nowMs: number) => {
    const reported = listReported(nowMs);
    const firsts = reported.map(([service, priority, , tokens]) => [service, priority, tokens]);
    const described = JSON.stringify(firsts);
    const isFirst = (service: string, priority: number, ageMs: number) =>
      fleet.listHeads(service, nowMs, WAITING_LIMITS.countedReportMs).filter((head) =>
        head.priority < priority ||
        (head.priority === priority && head.arrivedAtMs < nowMs - ageMs)
      ).length < WAITING_LIMITS.renewedHeads;
    const isDue = nowMs - lastReportMs >= WAITING_LIMITS.reportAgeMs &&
      reported.some(([service, priority, , , ageMs]) => isFirst(service, priority, ageMs));
    if (reported.length > 0 && (described !== lastReported || isDue)) {
      lastReportMs = nowMs;
      options.reportChange();
    }
    lastReported = described;
  };
  const gaugeWaiting = () => {
    queued.forEach(({ priority }) => reportedPriorities.add(priority));
    for (const priority of reportedPriorities) {
      const count = queued.filter((request) => request.priority === priority).length;
      metrics.gauge("waiting.requests", count, { priority: String(priority) });
    }
  };

  return {
    isContested: (service, nowMs) =>
      queued.some((request) => request.service === service) ||
      fleet.listHeads(service, nowMs, 2 * WAITING_LIMITS.reportAgeMs).length > 0,
    placeNew: (entry, nowMs) => {
      const request = createQueued(entry);
      const own = queued.filter(({ service }) => service === entry.service);
      updateShare(shares, entry, own);
      const room = options.listRoom(entry.service);
      const isPlaced =
        placeFirst(entry.service, room, [...own, request], nowMs, request) !== undefined;
      if (isPlaced) {
        recordPlaced(request);
      }
      return isPlaced;
    },
    add: (entry) => {
      if (queued.length >= WAITING_LIMITS.maxQueued) {
        return false;
      }
      updateShare(shares, entry, queued.filter(({ service }) => service === entry.service));
      queued.push(createQueued(entry));
      return true;
    },
    expireAndPlaceNext: (nowMs) => {
      queued = queued.filter(({ entry }) => entry.isWaiting());
      for (const service of new Set(queued.map((request) => request.service))) {
        const own = queued.filter((request) => request.service === service);
        const room = options.listRoom(service);
        const placed = placeFirst(service, room, own, nowMs);
        if (placed !== undefined) {
          queued = queued.filter((request) => request !== placed);
          recordPlaced(placed);
        }
        refuseHopeless(service, room, nowMs);
      }
      expire(nowMs);
      reportFirst(nowMs);
      gaugeWaiting();
    },
    recordStart: ({ priority, memoryTokens }, nowMs) =>
      urgentShare.recordStart(priority, memoryTokens, nowMs),
    listReported,
    count: () => queued.length,
  };
}

function createQueued(entry: WaitQueueEntry): QueuedRequest {
  return {
    ...entry,
    entry,
    reservedSinceMs: undefined,
    wasDeferred: false,
  };
}

/** Counts the engines of a service that may be reserved at the same time. */
function countReservable({ candidates }: EngineRoom): number {
  return Math.max(1, Math.floor(candidates.length * WAITING_LIMITS.maxReservedShare));
}
