import type { METRICS_CATALOGUE } from "./metrics_catalogue.ts";

/** Name of a row in the metrics catalogue. */
export type MetricName = keyof typeof METRICS_CATALOGUE;
