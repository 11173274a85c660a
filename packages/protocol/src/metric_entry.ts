/** One row of the metrics catalogue. */
export interface MetricEntry {
  readonly type: "counter" | "gauge" | "distribution";
  /** Unit of the value, for example `ms`, `bytes` or `requests`. */
  readonly unit: string;
  readonly meaning: string;
}
