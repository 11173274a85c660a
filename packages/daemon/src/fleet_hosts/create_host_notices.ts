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
  /** A notice is waiting to be reported. */
  readonly noteNews: () => void;
}

/** News that hosts pass to each other in their reports, each delivered once. */
export interface HostNotices {
  /** Delivers a notice here and reports it to the other hosts. */
  publishNotice(notice: HostNotice): void;
  subscribeNotices(topic: string, listener: (notice: Notice) => void): void;
  /** Notices that the next report carries. */
  listReported(): HostReport["notices"];
  /** Delivers what a report carries and is not known yet. */
  acceptNotices(report: Pick<HostReport, "host" | "notices">): void;
  /** Reports all notices in force again, for a host that has joined. */
  renewNotices(): void;
}

interface OwnNotice {
  readonly notice: HostNotice;
  readonly expiresMs: number;
  reportUntilMs: number;
}

/** Creates the notices of one host; own and known ones are bounded, the oldest are dropped. */
export function createHostNotices(options: HostNoticesOptions): HostNotices {
  const { clock } = options;
  const listeners = new Map<string, ((notice: Notice) => void)[]>();
  const known = new Map<string, number>();
  let own: OwnNotice[] = [];
  let turn = 0;

  const deliver = (notice: Notice) =>
    listeners.get(notice.topic)?.forEach((listener) => listener(notice));

  return {
    publishNotice: (notice) => {
      const nowMs = clock.readMonotonicMs();
      own.push({
        notice,
        expiresMs: nowMs + notice.ttlMs,
        reportUntilMs: nowMs + HOST_LIMITS.noticeReportMs,
      });
      own = own.filter(({ expiresMs }) => expiresMs > nowMs).slice(-HOST_LIMITS.maxOwnNotices);
      deliver({ ...notice, origin: options.host });
      options.noteNews();
    },
    subscribeNotices: (topic, listener) => {
      listeners.set(topic, [...listeners.get(topic) ?? [], listener]);
    },
    listReported: () => {
      const nowMs = clock.readMonotonicMs();
      const due = own.filter(({ reportUntilMs, expiresMs }) =>
        reportUntilMs > nowMs && expiresMs > nowMs
      );
      const start = due.length === 0 ? 0 : turn % due.length;
      turn += HOST_LIMITS.noticesPerReport;
      return [...due.slice(start), ...due.slice(0, start)]
        .slice(0, HOST_LIMITS.noticesPerReport)
        .map(({ notice, expiresMs }) => [
          notice.topic,
          notice.key,
          Math.ceil(expiresMs - nowMs),
          notice.payload,
        ]);
    },
    acceptNotices: ({ host, notices }) => {
      const nowMs = clock.readMonotonicMs();
      for (const [topic, key, ttlMs, payload] of notices) {
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
      own.forEach((entry) => entry.reportUntilMs = nowMs + HOST_LIMITS.noticeReportMs);
    },
  };
}
