import { METRICS_CATALOGUE } from "@crocussail/protocol";
import type { MetricName, Metrics } from "@crocussail/protocol";
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Metrics that can be rendered as text. */
export interface TextMetrics extends Metrics {
  render(): Promise<string>;
}

/** Upper limits of the histogram buckets; every distribution is in milliseconds. */
const BUCKETS = [1, 3, 10, 30, 60, 120, 250, 500, 1_000, 2_000, 4_000, 8_000, 16_000, 40_000];

type Tags = Readonly<Record<string, string>>;

/** Creates metrics in the Prometheus text format. */
export function createTextMetrics(): TextMetrics {
  const registry = new Registry();
  const instruments = new Map<MetricName, Counter | Gauge | Histogram>();
  // The tags of the first call for a metric define its label names.
  const getInstrument = <Instrument>(
    name: MetricName,
    tags: Tags,
    create: (options: {
      name: string;
      help: string;
      labelNames: string[];
      registers: Registry[];
    }) => Instrument & (Counter | Gauge | Histogram),
  ): Instrument => {
    const known = instruments.get(name);
    if (known !== undefined) {
      return known as Instrument;
    }
    const created = create({
      name: `crocussail_${name.replaceAll(".", "_")}`,
      help: METRICS_CATALOGUE[name].meaning,
      labelNames: Object.keys(tags),
      registers: [registry],
    });
    instruments.set(name, created);
    return created;
  };
  return {
    increment: (name, value = 1, tags = {}) =>
      getInstrument<Counter>(name, tags, (options) => new Counter(options)).inc(tags, value),
    gauge: (name, value, tags = {}) =>
      getInstrument<Gauge>(name, tags, (options) => new Gauge(options)).set(tags, value),
    distribution: (name, value, tags = {}) =>
      getInstrument<Histogram>(
        name,
        tags,
        (options) => new Histogram({ ...options, buckets: BUCKETS }),
      ).observe(tags, value),
    render: () => registry.metrics(),
  };
}
