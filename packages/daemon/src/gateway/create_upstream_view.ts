import type { Clock, Logger, Metrics } from "@crocussail/protocol";
import { HOST_LIMITS } from "../fleet_hosts/mod.ts";
import {
  applyJoinedRecord,
  applyUpstreamRecord,
  applyUpstreamRemoval,
  createUpstreamState,
  expireUpstreams,
  listAbsentUpstreams,
  markUpstreamLeaving,
  UPSTREAM_LIMITS,
} from "../upstreams/mod.ts";
import type { Upstream, UpstreamRecord, UpstreamState } from "../upstreams/mod.ts";

/** Options of {@link createUpstreamView}. */
export interface UpstreamViewOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /**
   * Called when an upstream starts draining or a later incarnation replaced it. `isLocallyObserved`
   * is false if another host reported it.
   */
  readonly handleLeaving: (upstream: Upstream, isLocallyObserved: boolean) => void;
}

/** The table of upstreams; its changes are logged. */
export interface UpstreamView {
  readonly state: UpstreamState;
  applyRecord(record: UpstreamRecord): void;
  removeRecord(id: string): void;
  /** Removes the records that are missing from a complete list. */
  applyList(publishedIds: ReadonlySet<string>, readAtMs: number): void;
  /** Applies another host's report that an upstream has joined, as that host read at `readAtMs`. */
  applyJoined(record: UpstreamRecord, readAtMs: number): void;
  /** Whether the settings service does not respond, or missing records may still return. */
  isOutageRecent(): boolean;
  /** Applies another host's report that an upstream is draining. */
  markLeaving(id: string, startedAt: number, isAbsent: boolean, by: string): void;
  /** Applies an upstream's own word, in a response to this host, that it is draining. */
  markLeavingBySignal(upstream: Upstream): void;
  /** Records that the settings service has come back from an older copy. */
  recordRestore(): void;
  /** Records whether the settings service responds. */
  recordServiceResponding(isResponding: boolean): void;
  tick(): void;
  /**
   * Lists upstreams that have been draining for up to `maxAgeMs`: id, start time, and whether they
   * drain only because their record is absent.
   */
  listLeaving(maxAgeMs: number): [string, number, boolean][];
  /** Lists all draining upstreams again for a while, for a host that has joined. */
  renewLeaving(): void;
  /** Lists the records of upstreams that became ready up to `maxAgeMs` ago. */
  listJoined(maxAgeMs: number): UpstreamRecord[];
}

/** Creates the table. Each change of an upstream's status is reported once. */
export function createUpstreamView(options: UpstreamViewOptions): UpstreamView {
  const { clock, logger, metrics } = options;
  const state = createUpstreamState();
  let renewedUntilMs = Number.NEGATIVE_INFINITY;
  const reportLeaving = (upstream: Upstream | undefined, by: string, isLocallyObserved = true) => {
    if (upstream === undefined) {
      return;
    }
    logger.writeEvent("upstreamLeft", {
      upstream: upstream.record.id,
      service: upstream.record.service,
      address: upstream.record.address,
      status: upstream.status,
      by,
    });
    options.handleLeaving(upstream, isLocallyObserved);
  };
  const applyWith = (
    record: UpstreamRecord,
    apply: (nowMs: number) => Upstream | undefined,
  ) => {
    const before = state.upstreams.get(record.id);
    const departed = apply(clock.readMonotonicMs());
    const after = state.upstreams.get(record.id);
    if (after?.status === "ready" && (before?.status !== "ready" || departed !== undefined)) {
      const { id: upstream, service, address } = record;
      logger.writeEvent("upstreamJoined", { upstream, service, address });
    }
    reportLeaving(departed, "record");
  };
  const removeRecord = (id: string) => {
    const before = state.upstreams.get(id)?.status;
    const departed = applyUpstreamRemoval(state, id, clock.readMonotonicMs());
    if (state.upstreams.get(id)?.status === "lapsed" && before !== "lapsed") {
      logger.writeEvent("upstreamLapsed", { upstream: id });
    }
    reportLeaving(departed, "removal");
  };
  return {
    state,
    applyRecord: (record) =>
      applyWith(record, (nowMs) => applyUpstreamRecord(state, record, nowMs)),
    removeRecord,
    applyList: (publishedIds, readAtMs) =>
      listAbsentUpstreams(state, publishedIds, readAtMs).forEach(removeRecord),
    applyJoined: (record, readAtMs) =>
      applyWith(record, (nowMs) => applyJoinedRecord(state, record, readAtMs, nowMs)),
    isOutageRecent: () =>
      state.isSettingsServiceDown ||
      clock.readMonotonicMs() - state.lastOutageAtMs <= 2 * UPSTREAM_LIMITS.lapseGraceMs,
    markLeaving: (id, startedAt, isAbsent, by) =>
      reportLeaving(
        markUpstreamLeaving(state, id, startedAt, isAbsent, clock.readMonotonicMs()),
        by,
        false,
      ),
    markLeavingBySignal: ({ record: { id, startedAt } }) =>
      reportLeaving(
        markUpstreamLeaving(state, id, startedAt, false, clock.readMonotonicMs()),
        "response",
      ),
    recordRestore: () => {
      state.restoredAtMs = clock.readMonotonicMs();
      // The copy may lack records of the last seconds, which are written again.
      state.lastOutageAtMs = state.restoredAtMs;
    },
    recordServiceResponding: (isResponding) => {
      state.isSettingsServiceDown = !isResponding;
      state.lastOutageAtMs = clock.readMonotonicMs();
    },
    tick: () => {
      expireUpstreams(state, clock.readMonotonicMs()).forEach((departed) =>
        reportLeaving(departed, "lapse")
      );
      const counts = { ready: 0, lapsed: 0, leaving: 0, gone: 0 };
      for (const { status } of state.upstreams.values()) {
        counts[status]++;
      }
      for (const [status, count] of Object.entries(counts)) {
        metrics.gauge("upstreams.known", count, { status });
      }
    },
    renewLeaving: () => {
      renewedUntilMs = clock.readMonotonicMs() + HOST_LIMITS.upstreamReportMs;
    },
    listJoined: (maxAgeMs) => {
      const nowMs = clock.readMonotonicMs();
      return [...state.upstreams.values()]
        .filter(({ status, sinceMs }) => status === "ready" && nowMs - sinceMs <= maxAgeMs)
        .map(({ record }) => record);
    },
    listLeaving: (maxAgeMs) => {
      const nowMs = clock.readMonotonicMs();
      return [...state.upstreams.values()]
        .filter(({ status, sinceMs }) =>
          status === "leaving" && (nowMs - sinceMs <= maxAgeMs || nowMs < renewedUntilMs)
        )
        .slice(-HOST_LIMITS.maxReportedLeaving)
        .map(({ record, isAbsent }) => [record.id, record.startedAt, isAbsent]);
    },
  };
}
