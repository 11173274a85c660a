import type { LoadSummary } from "./load_summary_schema.ts";

/** Lists the guarantees that were violated in a load run, one line each. */
export function listViolatedGuarantees(summaries: readonly LoadSummary[]): string[] {
  return summaries.flatMap((summary) => {
    const counts: readonly (readonly [string, number])[] = [
      ["tokens lost", summary.tokensLost],
      ["tokens doubled", summary.tokensDoubled],
      ["tokens out of order", summary.tokensOutOfOrder],
      ["tokens of another stream", summary.tokensForeign],
      ["orders doubled", summary.ordersDoubled],
    ];
    return counts
      .filter(([, count]) => count > 0)
      .map(([name, count]) => `${summary.kind}: ${count} ${name}`);
  });
}
