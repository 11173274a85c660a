import type { Clock, Logger } from "@crocussail/protocol";
import { HOST_LIMITS } from "../fleet_hosts/mod.ts";
import type { FleetHosts, HostReport } from "../fleet_hosts/mod.ts";
import type { ServiceSettings } from "../routes/mod.ts";
import type { ColdTime } from "../upstream_limits/mod.ts";
import {
  getColdUntil,
  markDataCentreCold,
  markUpstreamCold,
  UPSTREAM_LIMITS,
} from "../upstreams/mod.ts";
import type { Upstream, UpstreamRecord, UpstreamState } from "../upstreams/mod.ts";

/** Options of {@link createColdNotices}. */
export interface ColdNoticesOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly state: Pick<UpstreamState, "upstreams">;
  readonly getService: (name: string) => ServiceSettings | undefined;
  readonly hosts: Pick<FleetHosts, "scheduleUrgentReport">;
}

/** What this host knows of cold upstreams, and what it tells the others. */
export interface ColdNotices {
  /** Returns the cold time of an upstream; undefined if it is warm or its service has no cold rate. */
  getCold(id: string): ColdTime | undefined;
  /** Lists the upstreams that are cold. */
  listCold(): Pick<UpstreamRecord, "id" | "startedAt">[];
  /** Calls `apply`, which applies a record that this host has read, and takes note of its cold time. */
  observeRecord(record: UpstreamRecord, apply: () => void): void;
  /** Records that an upstream has said in a response to this host that it is cold for `coldMs`. */
  recordSignal(upstream: Upstream, coldMs: number): void;
  /**
   * Records that the evacuation of a data centre was withdrawn: its upstreams may have become cold
   * meanwhile, so each counts as if it had just started.
   */
  recordReturn(dataCentre: string): void;
  /** Applies the cold upstreams of another host's report, sent `ageMs` ago. */
  acceptReport(report: Pick<HostReport, "host" | "cold">, ageMs: number): void;
  /**
   * Lists for this host's report what responses have told it and, if it reads for the fleet, the
   * records; never what other hosts have told it, so that no end grows on its way.
   */
  listReported(isReader: boolean): HostReport["cold"];
}

/** A cold time that this host has seen itself. */
interface ObservedCold {
  readonly startedAt: number;
  readonly untilMs: number;
  readonly isFromRecord: boolean;
}

/** Creates the notices. A report is sent at once only if a known upstream that was warm becomes cold. */
export function createColdNotices(options: ColdNoticesOptions): ColdNotices {
  const { clock, logger, state } = options;
  const observed = new Map<string, ObservedCold>();
  const getCold = (id: string): ColdTime | undefined => {
    const upstream = state.upstreams.get(id);
    const service = upstream && options.getService(upstream.record.service);
    if (upstream === undefined || service === undefined || service.coldPerSecond <= 0) {
      return undefined;
    }
    const untilMs = getColdUntil(upstream, service.coldStartMs);
    return untilMs <= clock.readMonotonicMs() ? undefined : {
      startedAt: upstream.record.startedAt,
      perSecond: service.coldPerSecond,
      untilMs,
    };
  };
  /** Returns whether a known upstream that was warm is cold after `apply`, and logs it. */
  const observeChange = (
    { id, startedAt }: Pick<UpstreamRecord, "id" | "startedAt">,
    by: string,
    apply: () => void,
  ) => {
    const isKnown = state.upstreams.get(id)?.record.startedAt === startedAt;
    const wasCold = getCold(id) !== undefined;
    apply();
    const cold = getCold(id);
    const hasBecomeCold = isKnown && !wasCold && cold !== undefined;
    if (hasBecomeCold) {
      const leftMs = Math.round(cold.untilMs - clock.readMonotonicMs());
      logger.writeEvent("upstreamCold", { upstream: id, leftMs, perSecond: cold.perSecond, by });
    }
    return hasBecomeCold;
  };
  const recordOwn = (id: string, own: ObservedCold) => {
    const known = observed.get(id);
    if (known?.startedAt !== own.startedAt || known.untilMs < own.untilMs) {
      observed.set(id, own);
    }
  };
  return {
    getCold,
    listCold: () =>
      [...state.upstreams.values()].filter(({ record }) => getCold(record.id) !== undefined)
        .map(({ record }) => record),
    observeRecord: (record, apply) => {
      const { id, startedAt } = record;
      const before = state.upstreams.get(id);
      const hasBecomeCold = observeChange(record, "record", apply);
      const after = state.upstreams.get(id);
      const formerMs = before?.record.startedAt === startedAt ? before.coldUntilMs : undefined;
      if (after?.record.startedAt === startedAt && after.coldUntilMs !== formerMs) {
        recordOwn(id, { startedAt, untilMs: after.coldUntilMs, isFromRecord: true });
      }
      if (hasBecomeCold) {
        options.hosts.scheduleUrgentReport();
      }
    },
    recordSignal: ({ record }, coldMs) => {
      const limitedMs = Math.min(coldMs, UPSTREAM_LIMITS.maxColdMs);
      const untilMs = clock.readMonotonicMs() + limitedMs;
      const hasBecomeCold = observeChange(
        record,
        "response",
        () => markUpstreamCold(state, record, untilMs),
      );
      recordOwn(record.id, { startedAt: record.startedAt, untilMs, isFromRecord: false });
      if (hasBecomeCold) {
        options.hosts.scheduleUrgentReport();
      }
    },
    recordReturn: (dataCentre) => {
      const nowMs = clock.readMonotonicMs();
      markDataCentreCold(
        state,
        dataCentre,
        (service) => nowMs + (options.getService(service)?.coldStartMs ?? 0),
      );
    },
    acceptReport: ({ host, cold }, ageMs) => {
      const sentAtMs = clock.readMonotonicMs() - ageMs;
      for (const [id, startedAt, leftMs] of cold) {
        const untilMs = sentAtMs + Math.min(leftMs, UPSTREAM_LIMITS.maxColdMs);
        observeChange(
          { id, startedAt },
          host,
          () => markUpstreamCold(state, { id, startedAt }, untilMs),
        );
      }
    },
    listReported: (isReader) => {
      const nowMs = clock.readMonotonicMs();
      for (const [id, { untilMs }] of observed) {
        if (untilMs <= nowMs) {
          observed.delete(id);
        }
      }
      return [...observed]
        .filter(([id, { startedAt, isFromRecord }]) =>
          getCold(id)?.startedAt === startedAt && (isReader || !isFromRecord)
        )
        .toSorted(([, left], [, right]) => right.untilMs - left.untilMs)
        .slice(0, HOST_LIMITS.maxReportedCold)
        .map(([id, { startedAt, untilMs }]) => [id, startedAt, Math.ceil(untilMs - nowMs)]);
    },
  };
}
