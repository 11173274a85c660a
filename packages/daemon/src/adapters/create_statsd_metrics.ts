import type { Metrics } from "@crocussail/protocol";
import { StatsD } from "hot-shots";

/** Options of {@link createStatsdMetrics}. */
export interface StatsdMetricsOptions {
  readonly host: string;
  readonly port: number;
  /** Tags added to every metric. */
  readonly tags: Record<string, string>;
}

/** Creates a metrics sink that sends to a StatsD server over UDP. */
export function createStatsdMetrics(options: StatsdMetricsOptions): Metrics {
  const client = new StatsD({
    host: options.host,
    port: options.port,
    prefix: "crocussail.",
    globalTags: options.tags,
    errorHandler: () => {},
  });
  return {
    increment: (name, value = 1, tags = {}) => client.increment(name, value, tags),
    gauge: (name, value, tags = {}) => client.gauge(name, value, tags),
    distribution: (name, value, tags = {}) => client.distribution(name, value, tags),
  };
}
