/** Part of a report of a measurement. */
export interface BenchSection {
  readonly name: string;
  readonly rows: Record<string, string | number | boolean>[];
  /** Budgets missed, each named with its figure; empty when all are kept. */
  readonly missed: string[];
}
