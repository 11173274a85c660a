import type { LoadSummary } from "./load_summary_schema.ts";

/** Lost, out of order and foreign count tokens; doubled counts tokens and orders. */
const COLUMNS = [
  "kind",
  "sent",
  "in time",
  "late",
  "refused",
  "unknown",
  "failed",
  "resumed",
  "lost",
  "doubled",
  "out of order",
  "foreign",
  "first p50/p99 ms",
  "gap p50/p99/p99.9 ms",
  "total p50/p99 ms",
];

/** Renders the per-kind table of a load run. */
export function renderLoadTable(summaries: readonly LoadSummary[]): string {
  const rows = [COLUMNS, ...summaries.map(formatRow)];
  const widths = COLUMNS.map((_, column) => Math.max(...rows.map((row) => row[column]!.length)));
  return rows
    .map((row) => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ").trimEnd())
    .join("\n");
}

function formatRow(summary: LoadSummary): string[] {
  const { firstMs, gapMs, durationMs } = summary;
  const doubled = summary.tokensDoubled + summary.ordersDoubled;
  return [
    summary.kind,
    ...[summary.sent, summary.inTime, summary.late, summary.refused].map(String),
    ...[summary.unknown, summary.failed, summary.resumes, summary.tokensLost, doubled].map(String),
    ...[summary.tokensOutOfOrder, summary.tokensForeign].map(String),
    [firstMs.p50, firstMs.p99].map(formatMs).join("/"),
    [gapMs.p50, gapMs.p99, gapMs.p999].map(formatMs).join("/"),
    [durationMs.p50, durationMs.p99].map(formatMs).join("/"),
  ];
}

function formatMs(value: number): string {
  return value.toFixed(1);
}
