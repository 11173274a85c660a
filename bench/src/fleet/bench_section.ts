/** One section of the fleet's measurements. */
export interface BenchSection {
  readonly name: string;
  readonly rows: Record<string, string | number | boolean>[];
  /** Budgets that were missed, by name; empty when all hold. */
  readonly missed: string[];
}
