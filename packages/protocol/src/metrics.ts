/** Sink of metrics; names are listed in docs/METRICS.md. */
export interface Metrics {
  increment(name: string, value?: number, tags?: Readonly<Record<string, string>>): void;
  gauge(name: string, value: number, tags?: Readonly<Record<string, string>>): void;
  distribution(name: string, value: number, tags?: Readonly<Record<string, string>>): void;
}
