import type { Clock } from "@crocussail/protocol";
import type { Notice } from "../membership/mod.ts";
import { HOST_LIMITS } from "./constants.ts";
import type { HostReport } from "./host_report_schema.ts";

/** A notice of this host, before its origin is set. */
export type HostNotice = Omit<Notice, "origin">;

/** Options of {@link createHostNotices}. */
export interface HostNoticesOptions {
  readonly clock: Clock;
  readonly host: string;
  /** Called when a notice has to be reported. */
  readonly scheduleUrgentReport: () => void;
}

/** Notices that hosts exchange in their reports; each is delivered once. */
export interface HostNotices {
  /** Delivers a notice on this host and reports it to the other hosts. */
  publishNotice(notice: HostNotice): void;
  subscribeNotices(topic: string, listener: (notice: Notice) => void): void;
  /** Lists the notices of the next report. */
  listReported(): HostReport["notices"];
  /** Delivers those notices of a report, sent `ageMs` ago, that have not been delivered yet. */
  acceptNotices(report: Pick<HostReport, "host" | "notices">, ageMs: number): void;
  /** Reports again, for a host that has joined, all notices that have not expired. */
  renewNotices(): void;
}

interface LocalNotice {
  readonly notice: HostNotice;
  readonly expiresAtMs: number;
  reportUntilMs: number;
}

/**
 * Creates the notices of one host. The numbers of this host's notices and of the identities of
 * received ones are limited; at the limit the oldest are dropped.
 */
export function createHostNotices(options: HostNoticesOptions): HostNotices {
  const { clock } = options;
  const listeners = new Map<string, ((notice: Notice) => void)[]>();
  const known = new Map<string, number>();
  let localNotices: LocalNotice[] = [];
  let offset = 0;

  const deliver = (notice: Notice) =>
    listeners.get(notice.topic)?.forEach((listener) => listener(notice));

  return {
    publishNotice: (notice) => {
      const nowMs = clock.readMonotonicMs();
      localNotices.push({
        notice,
        expiresAtMs: nowMs + notice.ttlMs,
        reportUntilMs: nowMs + HOST_LIMITS.noticeReportMs,
      });
      localNotices = localNotices.filter(({ expiresAtMs }) => expiresAtMs > nowMs).slice(
        -HOST_LIMITS.maxLocalNotices,
      );
      deliver({ ...notice, origin: options.host });
      options.scheduleUrgentReport();
    },
    subscribeNotices: (topic, listener) => {
      listeners.set(topic, [...listeners.get(topic) ?? [], listener]);
    },
    listReported: () => {
      const nowMs = clock.readMonotonicMs();
      const due = localNotices.filter(({ reportUntilMs, expiresAtMs }) =>
        reportUntilMs > nowMs && expiresAtMs > nowMs
      );
      const start = due.length === 0 ? 0 : offset % due.length;
      offset += HOST_LIMITS.noticesPerReport;
      return [...due.slice(start), ...due.slice(0, start)]
        .slice(0, HOST_LIMITS.noticesPerReport)
        .map(({ notice, expiresAtMs }) => [
          notice.topic,
          notice.key,
          Math.ceil(expiresAtMs - nowMs),
          notice.payload,
        ]);
    },
    acceptNotices: ({ host, notices }, ageMs) => {
      const nowMs = clock.readMonotonicMs();
      for (const [topic, key, reportedTtlMs, payload] of notices) {
        const ttlMs = Math.max(1, reportedTtlMs - ageMs);
        const identity = `${host}/${topic}/${key}`;
        if ((known.get(identity) ?? 0) > nowMs) {
          continue;
        }
        known.set(identity, nowMs + ttlMs);
        const [oldest] = known.keys();
        if (known.size > HOST_LIMITS.maxKnownNotices && oldest !== undefined) {
          known.delete(oldest);
        }
        deliver({ topic, key, origin: host, payload, ttlMs });
      }
    },
    renewNotices: () => {
      const nowMs = clock.readMonotonicMs();
      localNotices.forEach((entry) => entry.reportUntilMs = nowMs + HOST_LIMITS.noticeReportMs);
    },
  };
}
