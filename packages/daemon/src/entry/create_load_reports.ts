import type { Clock, Timer } from "@crocussail/protocol";
import { z } from "zod";
import type { Membership } from "../membership/mod.ts";
import { computeLoadLevel } from "./compute_load_level.ts";
import { ENTRY_LIMITS } from "./constants.ts";
import { CAPACITY_FACTORS } from "./capacity_factors.ts";

/** Options of {@link createLoadReports}. */
export interface LoadReportsOptions {
  readonly host: string;
  readonly clock: Clock;
  readonly membership: Membership;
  /** Processor time of this process since its start, in milliseconds. */
  readonly readCpuMs: () => number;
}

/** Load levels of the fleet's hosts; a host without a current report counts as idle. */
export interface LoadReports {
  /** Returns the factor by which a host's load reduces its capacity. */
  getCapacityFactor(host: string): number;
  start(): void;
  stop(): void;
}

const TOPIC = "load";
const levelSchema = z.number().int().min(0).max(CAPACITY_FACTORS.length - 1);

/**
 * Creates the load reports. A host publishes a notice when its load level changes, and renews it
 * while the level is above 0.
 */
export function createLoadReports(options: LoadReportsOptions): LoadReports {
  const { host, clock, membership } = options;
  const reports = new Map<string, { level: number; untilMs: number }>();
  let timer: Timer | undefined;
  let level = 0;
  let publishedAtMs = 0;
  let last = { cpuMs: 0, atMs: 0 };

  const publishLevel = (nowMs: number) => {
    publishedAtMs = nowMs;
    membership.publishNotice({
      topic: TOPIC,
      key: `${host}:${Math.round(nowMs)}`,
      payload: level,
      ttlMs: ENTRY_LIMITS.loadNoticeTtlMs,
    });
  };
  const sampleLoad = () => {
    const nowMs = clock.readMonotonicMs();
    const cpuMs = options.readCpuMs();
    const next = computeLoadLevel(
      (cpuMs - last.cpuMs) / (nowMs - last.atMs),
      level,
    );
    last = { cpuMs, atMs: nowMs };
    const isDue = nowMs - publishedAtMs >= ENTRY_LIMITS.loadNoticeTtlMs / 2;
    if (next !== level || (next > 0 && isDue)) {
      level = next;
      publishLevel(nowMs);
    }
    timer = clock.startTimer(ENTRY_LIMITS.loadSampleMs, sampleLoad);
  };

  membership.subscribeNotices(TOPIC, (notice) => {
    const parsed = levelSchema.safeParse(notice.payload);
    if (!parsed.success) {
      return;
    }
    const [oldest] = reports.keys();
    if (reports.size >= ENTRY_LIMITS.maxLoadReports && oldest !== undefined) {
      reports.delete(oldest);
    }
    reports.delete(notice.origin);
    reports.set(notice.origin, {
      level: parsed.data,
      untilMs: clock.readMonotonicMs() + notice.ttlMs,
    });
  });

  return {
    getCapacityFactor: (name) => {
      const report = reports.get(name);
      const isCurrent = report !== undefined && report.untilMs > clock.readMonotonicMs();
      return CAPACITY_FACTORS[isCurrent ? report.level : 0] ?? 1;
    },
    start: () => {
      last = { cpuMs: options.readCpuMs(), atMs: clock.readMonotonicMs() };
      timer = clock.startTimer(ENTRY_LIMITS.loadSampleMs, sampleLoad);
    },
    stop: () => timer?.cancel(),
  };
}
