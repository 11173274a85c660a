import type { MetricName } from "./metric_name.ts";

/** Sink of metrics; names are listed in docs/METRICS.md. */
export interface Metrics {
  increment(name: MetricName, value?: number, tags?: Readonly<Record<string, string>>): void;
  gauge(name: MetricName, value: number, tags?: Readonly<Record<string, string>>): void;
  distribution(name: MetricName, value: number, tags?: Readonly<Record<string, string>>): void;
}
