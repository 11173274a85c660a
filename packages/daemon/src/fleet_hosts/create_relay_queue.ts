import type { Clock, Timer } from "@crocussail/protocol";
import { HOST_LIMITS } from "./constants.ts";
import type { ForwardingScope } from "./decide_forwarding.ts";
import type { AgedReport } from "./host_datagram.ts";
import type { HostReport } from "./host_report_schema.ts";
import { mergeReports } from "./merge_reports.ts";

/** Options of {@link createRelayQueue}. */
export interface RelayQueueOptions {
  readonly clock: Clock;
  /** Sends a batch to the hosts of this data centre. */
  readonly sendToDataCentre: (reports: readonly AgedReport[]) => void;
  /** Sends a batch to the relays of the other data centres. */
  readonly sendToRelays: (reports: readonly AgedReport[]) => void;
}

/** Reports that this host has to forward; at most one for each host of the fleet. */
export interface RelayQueue {
  /**
   * Adds a report. `rank` is this host's place among the relays: the first forwards at once, the
   * next ones only what the first has not forwarded in time.
   */
  enqueue(entry: RelayEntry): void;
  /**
   * Drops a report that another relay has forwarded. With `isPartial`, that relay drops fields, and
   * a report that has them stays.
   */
  dropForwarded(
    report: Pick<HostReport, "host" | "incarnation" | "sequence">,
    isPartial: boolean,
  ): void;
  stop(): void;
}

/** A report to forward. */
export interface RelayEntry extends AgedReport {
  readonly scope: Exclude<ForwardingScope, "none">;
  readonly rank: number;
  /** Time for which the first relay has had the report and not forwarded it. */
  readonly waitedMs?: number;
}

interface PendingEntry {
  readonly report: HostReport;
  /** The report as received, unless it was merged. */
  readonly bytes: Uint8Array | undefined;
  readonly isPartial: boolean;
  readonly scope: Exclude<ForwardingScope, "none">;
  /** Monotonic time at which the report's host sent it. */
  readonly sentAtMs: number;
  readonly dueMs: number;
  readonly rank: number;
}

/**
 * Creates the queue of a relay. Reports of changes are forwarded soon, regular ones in batches; the
 * minimum interval between two batches limits what a relay sends under load.
 */
export function createRelayQueue(options: RelayQueueOptions): RelayQueue {
  const { clock } = options;
  const pending = new Map<string, PendingEntry>();
  let timer: { readonly timer: Timer; readonly dueMs: number } | undefined;
  let lastFlushMs = Number.NEGATIVE_INFINITY;

  const scheduleFlush = (dueMs: number) => {
    if (timer !== undefined && timer.dueMs <= dueMs) {
      return;
    }
    timer?.timer.cancel();
    const delayMs = Math.max(1, dueMs - clock.readMonotonicMs());
    timer = { dueMs, timer: clock.startTimer(delayMs, flush) };
  };
  const flush = () => {
    timer = undefined;
    const nowMs = clock.readMonotonicMs();
    const due = [...pending.values()].filter(({ rank, dueMs }) => rank === 0 || dueMs <= nowMs);
    const addAge = ({ report, bytes, isPartial, sentAtMs }: PendingEntry): AgedReport => ({
      report,
      ageMs: nowMs - sentAtMs,
      isPartial,
      ...(bytes && { bytes }),
    });
    options.sendToDataCentre(due.map(addAge));
    options.sendToRelays(due.filter(({ scope }) => scope === "fleet").map(addAge));
    due.forEach(({ report }) => pending.delete(report.host));
    lastFlushMs = due.length > 0 ? nowMs : lastFlushMs;
    if (pending.size > 0) {
      scheduleFlush(Math.min(...[...pending.values()].map(({ dueMs }) => dueMs)));
    }
  };

  return {
    enqueue: ({ report, ageMs, bytes, isPartial = false, scope, rank, waitedMs = 0 }) => {
      const nowMs = clock.readMonotonicMs();
      const known = pending.get(report.host);
      const isRegular = report.conduct !== null;
      const batchMs = isRegular ? HOST_LIMITS.regularRelayMs : HOST_LIMITS.reportDelayMs;
      const dueMs = rank === 0
        ? Math.max(nowMs + batchMs, lastFlushMs + HOST_LIMITS.minRelayIntervalMs)
        : nowMs + Math.max(0, rank * HOST_LIMITS.relayTakeoverMs - waitedMs);
      const entry: PendingEntry = {
        report: known === undefined ? report : mergeReports(known.report, report),
        bytes: known === undefined ? bytes : undefined,
        isPartial,
        scope: known?.scope === "fleet" ? "fleet" : scope,
        sentAtMs: nowMs - ageMs,
        dueMs: Math.min(known?.dueMs ?? Number.POSITIVE_INFINITY, dueMs),
        rank,
      };
      pending.set(report.host, entry);
      scheduleFlush(entry.dueMs);
    },
    dropForwarded: ({ host, incarnation, sequence }, isPartial) => {
      const entry = pending.get(host);
      const known = entry?.report;
      const hasMore = isPartial && entry?.isPartial === false && entry.report.protocolVersion > 0;
      if (known?.incarnation === incarnation && known.sequence <= sequence && !hasMore) {
        pending.delete(host);
      }
    },
    stop: () => {
      timer?.timer.cancel();
      timer = undefined;
      pending.clear();
    },
  };
}
