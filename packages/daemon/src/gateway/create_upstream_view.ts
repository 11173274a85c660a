import type { Clock, Logger, Metrics } from "@crocussail/protocol";
import {
  applyUpstreamRecord,
  applyUpstreamRemoval,
  createUpstreamState,
  expireUpstreams,
  markUpstreamLeaving,
} from "../upstreams/mod.ts";
import type { Upstream, UpstreamRecord, UpstreamState } from "../upstreams/mod.ts";

/** Options of {@link createUpstreamView}. */
export interface UpstreamViewOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /**
   * An upstream has begun to leave, or its lifetime is over; `isOwnWord` unless another host said so.
   */
  readonly noteLeaving: (upstream: Upstream, isOwnWord: boolean) => void;
}

/** The table of upstreams with its log lines. */
export interface UpstreamView {
  readonly state: UpstreamState;
  applyRecord(record: UpstreamRecord): void;
  removeRecord(id: string): void;
  /** Takes another host's word. */
  markLeaving(id: string, startedAt: number, isAbsent: boolean, by: string): void;
  /** The settings service answers again, or has stopped to. */
  noteContact(isAnswering: boolean): void;
  tick(): void;
  /** Lists those that began to leave within `maxAgeMs`: id, start, whether only a record is absent. */
  listLeaving(maxAgeMs: number): [string, number, boolean][];
}

/** Creates the table and reports each change of an upstream's status once. */
export function createUpstreamView(options: UpstreamViewOptions): UpstreamView {
  const { clock, logger, metrics } = options;
  const state = createUpstreamState();
  const reportLeaving = (upstream: Upstream | undefined, by: string, isOwnWord = true) => {
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
    options.noteLeaving(upstream, isOwnWord);
  };
  return {
    state,
    applyRecord: (record) => {
      const before = state.upstreams.get(record.id);
      const left = applyUpstreamRecord(state, record, clock.readMonotonicMs());
      const after = state.upstreams.get(record.id);
      if (after?.status === "ready" && (before?.status !== "ready" || left !== undefined)) {
        const { id: upstream, service, address } = record;
        logger.writeEvent("upstreamJoined", { upstream, service, address });
      }
      reportLeaving(left, "record");
    },
    removeRecord: (id) => {
      const before = state.upstreams.get(id)?.status;
      const left = applyUpstreamRemoval(state, id, clock.readMonotonicMs());
      if (state.upstreams.get(id)?.status === "lapsed" && before !== "lapsed") {
        logger.writeEvent("upstreamLapsed", { upstream: id });
      }
      reportLeaving(left, "removal");
    },
    markLeaving: (id, startedAt, isAbsent, by) =>
      reportLeaving(
        markUpstreamLeaving(state, id, startedAt, isAbsent, clock.readMonotonicMs()),
        by,
        false,
      ),
    noteContact: (isAnswering) => {
      state.isServiceAway = !isAnswering;
      state.lastOutageMs = clock.readMonotonicMs();
    },
    tick: () => {
      expireUpstreams(state, clock.readMonotonicMs()).forEach((left) =>
        reportLeaving(left, "lapse")
      );
      const counts = { ready: 0, lapsed: 0, leaving: 0, gone: 0 };
      for (const { status } of state.upstreams.values()) {
        counts[status]++;
      }
      for (const [status, count] of Object.entries(counts)) {
        metrics.gauge("upstreams.known", count, { status });
      }
    },
    listLeaving: (maxAgeMs) => {
      const nowMs = clock.readMonotonicMs();
      return [...state.upstreams.values()]
        .filter(({ status, sinceMs }) => status === "leaving" && nowMs - sinceMs <= maxAgeMs)
        .map(({ record, isAbsent }) => [record.id, record.startedAt, isAbsent]);
    },
  };
}
