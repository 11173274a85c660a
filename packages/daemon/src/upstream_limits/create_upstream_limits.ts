import type { Clock, Logger, Metrics, RandomSource } from "@crocussail/protocol";
import { rankByRendezvous } from "../common/rank_by_rendezvous.ts";
import type { FleetHosts, HostReport } from "../fleet_hosts/mod.ts";
import { computeOwnerShare } from "./compute_owner_share.ts";
import type { ColdTime } from "./cold_time.ts";
import { PERMIT_LIMITS } from "./constants.ts";
import { createColdTable } from "./create_cold_table.ts";
import { createLimitTable } from "./create_limit_table.ts";
import type { LimitTable, UpstreamIncarnation } from "./create_limit_table.ts";
import { createPermitClient } from "./create_permit_client.ts";
import type { PendingPermit, PermitResult } from "./create_permit_client.ts";
import { createPermitOwner } from "./create_permit_owner.ts";
import { decidePermitRate } from "./decide_permit_rate.ts";
import type { LimitObservation } from "./limit_observation.ts";
import { permitMessageSchema } from "./permit_message_schema.ts";
import type { PermitMessage } from "./permit_message_schema.ts";
import type { PermitRequest } from "./permit_request.ts";

/** Options of {@link createUpstreamLimits}. */
export interface UpstreamLimitsOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly localHost: string;
  readonly incarnation: string;
  readonly hosts: Pick<
    FleetHosts,
    "listLive" | "countRecent" | "sendMessage" | "subscribeMessages" | "scheduleUrgentReport"
  >;
  /** Returns the cold time of an upstream whose service has a cold rate; undefined if it is warm. */
  readonly getCold: (upstreamId: string) => ColdTime | undefined;
  /** Lists the upstreams that are cold, of services with a cold rate. */
  readonly listCold: () => UpstreamIncarnation[];
  /** Whether this host is draining and owns no limit any more. */
  readonly isLeaving: () => boolean;
}

/**
 * Keeps the limits of upstreams for the requests of all hosts together: those that they name, and the
 * cold rate of their service while they are cold.
 */
export interface UpstreamLimits {
  /**
   * Returns the requests a second that an incarnation takes, the smaller of its named limit and its
   * cold rate; undefined if requests to it need no permit.
   */
  getLimit: LimitTable["getLimit"];
  /** Adds what a response to this host says. */
  recordObservation(upstream: UpstreamIncarnation, observation: LimitObservation): void;
  /** Adds the limits of another host's report, sent `ageMs` ago. */
  acceptReport(report: Pick<HostReport, "host" | "limits">, ageMs: number): void;
  /** Lists the limits for this host's report. */
  listReported(): HostReport["limits"];
  /** Time in milliseconds until an upstream is expected to have a permit; 0 if it may have one now. */
  getFreeInMs(upstream: UpstreamIncarnation): number;
  /** Whether no response has said for a while that the limit still holds. */
  isUnconfirmed(upstream: UpstreamIncarnation): boolean;
  /** Requests the permit that a request to a limited upstream needs. */
  requestPermit(
    upstream: UpstreamIncarnation,
    request: Omit<PermitRequest, "key">,
    handleResult: (result: PermitResult) => void,
  ): PendingPermit;
  /** Takes over and gives up limits as hosts come and go; forgets unknown upstreams. */
  tick(isKnown: (id: string) => boolean): void;
  stop(): void;
}

/** The hosts of which one owns each limit. */
interface OwnerView {
  readonly candidates: readonly string[];
  /** Their names in order, for comparison. */
  readonly names: string;
  readonly untilMs: number;
}

interface CachedOwner {
  readonly host: string;
  /** Names of the hosts among which it was chosen. */
  readonly names: string;
}

type PermitRefusal = Extract<PermitResult, { type: "refused" }>;

const TOPIC = "upstreams.permit";
const MAX_DELAY_MS = 3_600_000;

/**
 * Creates the limits of a host. One live host for each limited upstream, by rendezvous hash, owns
 * its limit and grants permits at its rate to the others; every request to the upstream needs one.
 * An upstream is limited while it names a limit and while it is cold.
 */
export function createUpstreamLimits(options: UpstreamLimitsOptions): UpstreamLimits {
  const { clock, random, logger, metrics, localHost, hosts } = options;
  const table = createLimitTable({ logger, metrics });
  const cold = createColdTable({
    clock,
    getOwnCold: options.getCold,
    listOwnCold: options.listCold,
  });
  const owners = new Map<string, CachedOwner>();
  /** The same for cold upstreams, which only hosts that know cold times own. */
  const coldOwners = new Map<string, CachedOwner>();
  let view: OwnerView | undefined;
  let coldView: OwnerView | undefined;
  /** Limits that this host reports because it has observed them itself: until when, by upstream. */
  const reportUntilMs = new Map<string, number>();
  const freeAtMs = new Map<string, number>();

  const getLimit = (upstream: UpstreamIncarnation) => {
    const named = table.getLimit(upstream);
    const coldPerSecond = cold.getCold(upstream)?.perSecond;
    return coldPerSecond === undefined ? named : Math.min(named ?? coldPerSecond, coldPerSecond);
  };
  const getRate = (upstream: UpstreamIncarnation) =>
    decidePermitRate(table.getLimit(upstream), cold.getCold(upstream)?.perSecond);
  const findOwner = (upstreamId: string) =>
    findOwnerAmong(upstreamId, cold.findCold(upstreamId) !== undefined);
  /** Returns the hosts that may own a limit; they are listed again after a short time. */
  const readView = (isCold: boolean): OwnerView => {
    const nowMs = clock.readMonotonicMs();
    const former = isCold ? coldView : view;
    if (former !== undefined && former.untilMs > nowMs) {
      return former;
    }
    const others = hosts.listLive().filter(({ isLeaving, protocolVersion }) =>
      !isLeaving && (!isCold || protocolVersion >= PERMIT_LIMITS.coldProtocolVersion)
    ).map(({ host }) => host);
    const candidates = options.isLeaving() && others.length > 0 ? others : [localHost, ...others];
    const untilMs = nowMs + PERMIT_LIMITS.ownerCacheMs;
    const next = { candidates, names: candidates.toSorted().join(" "), untilMs };
    isCold ? coldView = next : view = next;
    return next;
  };
  const findOwnerAmong = (upstreamId: string, isCold: boolean) => {
    const { candidates, names } = readView(isCold);
    const cache = isCold ? coldOwners : owners;
    const cached = cache.get(upstreamId);
    if (cached?.names === names) {
      return cached.host;
    }
    const host = rankByRendezvous(upstreamId, candidates)[0] ?? localHost;
    cache.set(upstreamId, { host, names });
    return host;
  };
  const owner = createPermitOwner({
    clock,
    getRate,
    localHost,
    findOwner,
    recordColdEnd: ({ id: upstream }, { granted, refused }) =>
      logger.writeEvent("coldTimeEnded", { upstream, granted, refused }),
    computeShare: () =>
      computeOwnerShare({ live: hosts.listLive().length + 1, recent: hosts.countRecent() }),
  });
  const sendToHost = (host: string, message: PermitMessage) => {
    const address = hosts.listLive().find((report) => report.host === host)?.peerAddress;
    if (address !== undefined) {
      hosts.sendMessage(address, { topic: TOPIC, payload: message });
    }
  };
  const client = createPermitClient({
    clock,
    random,
    localHost,
    incarnation: options.incarnation,
    owner,
    findOwner,
    hasLimit: (upstream) => getLimit(upstream) !== undefined,
    sendRequest: (host, upstream, request) => {
      if (getLimit(upstream) !== undefined) {
        sendToHost(host, {
          type: "request",
          ...request,
          upstream: upstream.id,
          startedAt: upstream.startedAt,
          ...describeNamed(upstream),
          ...describeCold(upstream),
        });
      }
    },
    sendCancel: (host, upstream, key) => sendToHost(host, { type: "cancel", key, upstream }),
  });
  const describeNamed = (upstream: UpstreamIncarnation) => {
    const known = table.getObservation(upstream);
    const nowMs = clock.readMonotonicMs();
    return known?.perSecond === undefined ? {} : {
      perSecond: known.perSecond,
      sentAgeMs: Math.max(0, nowMs - known.sentAtMs),
      receivedAgeMs: Math.max(0, nowMs - known.receivedAtMs),
    };
  };
  const describeCold = (upstream: UpstreamIncarnation) => {
    const known = cold.getCold(upstream);
    return known === undefined ? {} : {
      coldPerSecond: known.perSecond,
      coldMs: known.untilMs - clock.readMonotonicMs(),
    };
  };
  const recordObservation = (
    upstream: UpstreamIncarnation,
    observation: LimitObservation,
    by: string,
  ) => {
    const hasChanged = table.recordObservation(upstream, observation, by);
    if (hasChanged) {
      freeAtMs.delete(upstream.id);
      owner.refreshLimit(upstream);
    }
    return hasChanged;
  };
  const handleMessage = (message: PermitMessage, reply: (message: PermitMessage) => void) => {
    if (message.type === "cancel") {
      owner.cancelPermit(message.upstream, message.key);
      return;
    }
    if (message.type !== "request") {
      client.acceptAnswer(message);
      return;
    }
    const nowMs = clock.readMonotonicMs();
    const upstream = { id: message.upstream, startedAt: message.startedAt };
    const { perSecond, sentAgeMs, receivedAgeMs, coldPerSecond, coldMs } = message;
    if (perSecond !== undefined && sentAgeMs !== undefined && receivedAgeMs !== undefined) {
      recordObservation(upstream, {
        perSecond,
        sentAtMs: nowMs - sentAgeMs,
        receivedAtMs: nowMs - receivedAgeMs,
      }, "request for a permit");
    }
    if (coldPerSecond !== undefined && coldMs !== undefined) {
      const { startedAt } = upstream;
      cold.recordTold(upstream.id, {
        startedAt,
        perSecond: coldPerSecond,
        untilMs: nowMs + coldMs,
      });
    }
    owner.requestPermit(upstream, message, (answer) => {
      reply(
        answer.type === "refuse"
          ? {
            ...answer,
            freeInMs: Math.min(MAX_DELAY_MS, answer.freeInMs),
            retryAfterMs: Math.min(MAX_DELAY_MS, answer.retryAfterMs),
          }
          : answer.type === "wait"
          ? { ...answer, expectedMs: Math.min(MAX_DELAY_MS, answer.expectedMs) }
          : answer,
      );
    });
  };
  hosts.subscribeMessages(TOPIC, (payload, senderAddress) => {
    const parsed = permitMessageSchema.safeParse(payload);
    if (!parsed.success) {
      metrics.increment("hosts.rejected");
      return;
    }
    handleMessage(
      parsed.data,
      (message) => hosts.sendMessage(senderAddress, { topic: TOPIC, payload: message }),
    );
  });

  /**
   * Ends the delays of a refusal with the cold time, after which no permit is needed or, if the
   * upstream names a limit as well, permits are granted at its rate.
   */
  const limitDelays = (
    upstream: UpstreamIncarnation,
    { freeInMs, retryAfterMs }: Pick<PermitRefusal, "freeInMs" | "retryAfterMs">,
  ): PermitRefusal => {
    const nowMs = clock.readMonotonicMs();
    const untilMs = cold.getCold(upstream)?.untilMs;
    const isNamed = table.getLimit(upstream) !== undefined;
    // An owner that is cut off grants nothing while the upstream is cold, so it names no time.
    const isUngranted = freeInMs >= MAX_DELAY_MS;
    if (!isUngranted && (untilMs === undefined || isNamed)) {
      return { type: "refused", freeInMs, retryAfterMs };
    }
    const leftMs = Math.max(0, (untilMs ?? nowMs + PERMIT_LIMITS.silentReturnMs) - nowMs);
    const spreadMs = random.nextFloat() * PERMIT_LIMITS.coldReturnSpreadMs;
    return {
      type: "refused",
      freeInMs: Math.min(freeInMs, leftMs),
      retryAfterMs: Math.min(retryAfterMs, Math.ceil(leftMs + spreadMs)),
    };
  };
  /**
   * Whether a host that knows no cold times owns the named limit of a cold upstream: it and the owner
   * of the cold upstream would both grant the limit.
   */
  const isOwnedByEarlierBuild = (upstream: UpstreamIncarnation) => {
    if (table.getLimit(upstream) === undefined || cold.getCold(upstream) === undefined) {
      return false;
    }
    const named = findOwnerAmong(upstream.id, false);
    return hosts.listLive().some(({ host, protocolVersion }) =>
      host === named && protocolVersion < PERMIT_LIMITS.coldProtocolVersion
    );
  };

  return {
    getLimit,
    recordObservation: (upstream, observation) => {
      const wasLimited = table.getLimit(upstream) !== undefined;
      const hasChanged = recordObservation(upstream, observation, "response");
      if (wasLimited || observation.perSecond !== undefined) {
        reportUntilMs.set(upstream.id, clock.readMonotonicMs() + PERMIT_LIMITS.reportMs);
      }
      if (hasChanged) {
        hosts.scheduleUrgentReport();
      }
    },
    acceptReport: ({ host, limits }, ageMs) => {
      const nowMs = clock.readMonotonicMs() - ageMs;
      for (const [id, startedAt, perSecond, sentAgeMs, receivedAgeMs] of limits) {
        recordObservation({ id, startedAt }, {
          perSecond: perSecond ?? undefined,
          sentAtMs: nowMs - sentAgeMs,
          receivedAtMs: nowMs - receivedAgeMs,
        }, host);
      }
    },
    listReported: () => {
      const nowMs = clock.readMonotonicMs();
      return table.listKnown()
        .filter(([id, { perSecond }]) =>
          (reportUntilMs.get(id) ?? Number.NEGATIVE_INFINITY) > nowMs ||
          (perSecond !== undefined && findOwner(id) === localHost)
        )
        .slice(0, PERMIT_LIMITS.maxReported)
        .map(([id, { startedAt, perSecond, sentAtMs, receivedAtMs }]) => [
          id,
          startedAt,
          perSecond ?? null,
          Math.max(0, Math.round(nowMs - sentAtMs)),
          Math.max(0, Math.round(nowMs - receivedAtMs)),
        ]);
    },
    getFreeInMs: ({ id }) =>
      Math.max(0, (freeAtMs.get(id) ?? Number.NEGATIVE_INFINITY) - clock.readMonotonicMs()),
    isUnconfirmed: (upstream) => {
      const known = table.getObservation(upstream);
      return known?.perSecond !== undefined &&
        clock.readMonotonicMs() - known.receivedAtMs > PERMIT_LIMITS.confirmMs;
    },
    requestPermit: (upstream, request, handleResult) => {
      const isCold = cold.getCold(upstream) !== undefined;
      const accept = (received: PermitResult) => {
        const result = received.type === "refused" ? limitDelays(upstream, received) : received;
        metrics.increment(isCold ? "upstreams.coldPermits" : "upstreams.permits", 1, {
          end: result.type,
        });
        if (result.type === "refused") {
          freeAtMs.set(upstream.id, clock.readMonotonicMs() + result.freeInMs);
        }
        handleResult(result);
      };
      if (isOwnedByEarlierBuild(upstream)) {
        const delayMs = PERMIT_LIMITS.silentReturnMs;
        accept({ type: "refused", freeInMs: PERMIT_LIMITS.silentOwnerMs, retryAfterMs: delayMs });
        return { cancel: () => {} };
      }
      return client.requestPermit(upstream, request, accept);
    },
    tick: (isKnown) => {
      table.prune(isKnown);
      cold.prune();
      const coldUpstreams = cold.listCold();
      metrics.gauge("upstreams.cold", new Set(coldUpstreams.map(({ id }) => id)).size);
      const named = table.listKnown().map(([id, { startedAt }]) => ({ id, startedAt }));
      listLatest([...named, ...coldUpstreams, ...owner.listOwned()]).forEach(owner.refreshLimit);
      for (
        const id of [
          ...reportUntilMs.keys(),
          ...freeAtMs.keys(),
          ...owners.keys(),
          ...coldOwners.keys(),
        ]
      ) {
        if (!isKnown(id)) {
          [reportUntilMs, freeAtMs, owners, coldOwners].forEach((map) => map.delete(id));
        }
      }
    },
    stop: () => {
      client.stop();
      owner.stop();
    },
  };
}

/** Lists the latest incarnation of each upstream once. */
function listLatest(upstreams: readonly UpstreamIncarnation[]): UpstreamIncarnation[] {
  const latest = new Map<string, UpstreamIncarnation>();
  for (const upstream of upstreams) {
    if (upstream.startedAt > (latest.get(upstream.id)?.startedAt ?? Number.NEGATIVE_INFINITY)) {
      latest.set(upstream.id, upstream);
    }
  }
  return [...latest.values()];
}
