/** One section of the fleet's measurements. */
export interface BenchSection {
  readonly name: string;
  readonly rows: Record<string, string | number | boolean>[];
  /** Descriptions of the missed targets; empty when all are met. */
  readonly missed: string[];
}
