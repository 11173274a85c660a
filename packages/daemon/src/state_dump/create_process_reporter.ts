import type { Clock, MetricName, Metrics, Timer } from "@crocussail/protocol";
import type { ProcessUsage } from "../adapters/process_usage.ts";

/** Options of {@link createProcessReporter}. */
export interface ProcessReporterOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly readUsage: () => ProcessUsage;
  /** Gauges of other modules, read for each report. */
  readonly gauges: Readonly<Partial<Record<MetricName, () => number>>>;
}

/** Sends the gauges of this process at a fixed interval. */
export interface ProcessReporter {
  start(): void;
  stop(): void;
}

const REPORT_INTERVAL_MS = 10_000;

/** Creates the reporter of this process. */
export function createProcessReporter(options: ProcessReporterOptions): ProcessReporter {
  const { clock, metrics, gauges } = options;
  let timer: Timer | undefined;
  let lastCpuMs = 0;
  let lastReportMs = 0;

  const sendReport = () => {
    const nowMs = clock.readMonotonicMs();
    const usage = options.readUsage();
    metrics.gauge("process.cpu", (usage.cpuMs - lastCpuMs) / (nowMs - lastReportMs));
    metrics.gauge("process.memory", usage.memoryBytes);
    metrics.gauge("process.loop_delay", usage.loopDelayMs);
    for (const [name, readGauge] of Object.entries(gauges)) {
      metrics.gauge(name as MetricName, readGauge());
    }
    lastCpuMs = usage.cpuMs;
    lastReportMs = nowMs;
    timer = clock.startTimer(REPORT_INTERVAL_MS, sendReport);
  };

  return {
    start: () => {
      lastCpuMs = options.readUsage().cpuMs;
      lastReportMs = clock.readMonotonicMs();
      timer = clock.startTimer(REPORT_INTERVAL_MS, sendReport);
    },
    stop: () => timer?.cancel(),
  };
}
