import type { Clock, Logger, Metrics, RandomSource } from "@crocussail/protocol";
import { rankByRendezvous } from "../common/rank_by_rendezvous.ts";
import type { FleetHosts, HostReport } from "../fleet_hosts/mod.ts";
import { computeOwnerShare } from "./compute_owner_share.ts";
import { PERMIT_LIMITS } from "./constants.ts";
import { createLimitTable } from "./create_limit_table.ts";
import type { LimitTable, UpstreamIncarnation } from "./create_limit_table.ts";
import { createPermitClient } from "./create_permit_client.ts";
import type { PendingPermit, PermitResult } from "./create_permit_client.ts";
import { createPermitOwner } from "./create_permit_owner.ts";
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
  /** Whether this host is draining and owns no limit any more. */
  readonly isLeaving: () => boolean;
}

/** Keeps the limits that upstreams name for the requests of all hosts together. */
export interface UpstreamLimits extends Pick<LimitTable, "getLimit"> {
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

interface CachedOwner {
  readonly host: string;
  /** The hosts among which it was chosen. */
  readonly view: string;
  readonly untilMs: number;
}

const TOPIC = "upstreams.permit";
const MAX_DELAY_MS = 3_600_000;

/**
 * Creates the limits of a host. One live host for each limited upstream, by rendezvous hash, owns
 * its limit and grants permits at its rate to the others; every request to the upstream needs one.
 */
export function createUpstreamLimits(options: UpstreamLimitsOptions): UpstreamLimits {
  const { clock, random, logger, metrics, localHost, hosts } = options;
  const table = createLimitTable({ logger, metrics });
  const owners = new Map<string, CachedOwner>();
  /** Limits that this host reports because it has observed them itself: until when, by upstream. */
  const reportUntilMs = new Map<string, number>();
  const freeAtMs = new Map<string, number>();

  const findOwner = (upstreamId: string) => {
    const nowMs = clock.readMonotonicMs();
    const cached = owners.get(upstreamId);
    if (cached !== undefined && cached.untilMs > nowMs) {
      return cached.host;
    }
    const others = hosts.listLive().filter(({ isLeaving }) => !isLeaving).map(({ host }) => host);
    const candidates = options.isLeaving() && others.length > 0 ? others : [localHost, ...others];
    const view = candidates.toSorted().join(" ");
    const host = cached?.view === view
      ? cached.host
      : rankByRendezvous(upstreamId, candidates)[0] ?? localHost;
    owners.set(upstreamId, { host, view, untilMs: nowMs + PERMIT_LIMITS.ownerCacheMs });
    return host;
  };
  const owner = createPermitOwner({
    clock,
    table,
    localHost,
    findOwner,
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
    sendRequest: (host, upstream, request) => {
      const known = table.getObservation(upstream);
      const nowMs = clock.readMonotonicMs();
      if (known?.perSecond !== undefined) {
        sendToHost(host, {
          type: "request",
          ...request,
          upstream: upstream.id,
          startedAt: upstream.startedAt,
          perSecond: known.perSecond,
          sentAgeMs: Math.max(0, nowMs - known.sentAtMs),
          receivedAgeMs: Math.max(0, nowMs - known.receivedAtMs),
        });
      }
    },
    sendCancel: (host, upstream, key) => sendToHost(host, { type: "cancel", key, upstream }),
  });
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
    recordObservation(upstream, {
      perSecond: message.perSecond,
      sentAtMs: nowMs - message.sentAgeMs,
      receivedAtMs: nowMs - message.receivedAgeMs,
    }, "request for a permit");
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

  return {
    getLimit: table.getLimit,
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
    requestPermit: (upstream, request, handleResult) =>
      client.requestPermit(upstream, request, (result) => {
        metrics.increment("upstreams.permits", 1, { end: result.type });
        if (result.type === "refused") {
          freeAtMs.set(upstream.id, clock.readMonotonicMs() + result.freeInMs);
        }
        handleResult(result);
      }),
    tick: (isKnown) => {
      table.prune(isKnown);
      table.listKnown().forEach(([id, { startedAt }]) => owner.refreshLimit({ id, startedAt }));
      for (const id of [...reportUntilMs.keys(), ...freeAtMs.keys(), ...owners.keys()]) {
        if (!isKnown(id)) {
          [reportUntilMs, freeAtMs, owners].forEach((map) => map.delete(id));
        }
      }
    },
    stop: () => {
      client.stop();
      owner.stop();
    },
  };
}
