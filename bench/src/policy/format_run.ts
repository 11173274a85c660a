import type { KindFigures } from "./kind_figures.ts";
import type { RunResult } from "./run_options.ts";

const COLUMNS: readonly (readonly [string, (kind: KindFigures) => string])[] = [
  ["kind", ({ kind }) => kind],
  ["requests", ({ requests }) => String(requests)],
  ["in time", ({ inTime }) => String(inTime)],
  ["late", ({ late }) => String(late)],
  ["refused", ({ refused }) => String(refused)],
  ["lost", ({ lost }) => String(lost)],
  ["dup", ({ duplicated }) => String(duplicated)],
  ["ttft<=1.2s", ({ firstTokenShare }) => firstTokenShare.toFixed(3)],
  ["gap<=37ms", ({ gapShare }) => gapShare.toFixed(3)],
  ["stall s", ({ stallMs }) => (stallMs / 1_000).toFixed(0)],
  ["paused s", ({ pausedMs }) => (pausedMs / 1_000).toFixed(0)],
  ["wait s", ({ firstWaitMs }) => (firstWaitMs / 1_000).toFixed(0)],
  ["preempt", ({ preemptions }) => String(preemptions)],
  ["gap p50", ({ gapP50 }) => gapP50.toFixed(1)],
  ["p99", ({ gapP99 }) => gapP99.toFixed(1)],
  ["p99.9", ({ gapP999 }) => gapP999.toFixed(1)],
  ["ttft p50", ({ firstTokenP50 }) => firstTokenP50.toFixed(0)],
  ["p99", ({ firstTokenP99 }) => firstTokenP99.toFixed(0)],
  ["goodput", ({ goodput }) => goodput.toFixed(0)],
];

/** Renders one run as a heading and a Markdown table. */
export function formatRun(run: RunResult): string {
  const rows = [
    COLUMNS.map(([title]) => title),
    COLUMNS.map(() => "---"),
    ...run.kinds.map((kind) => COLUMNS.map(([, format]) => format(kind))),
  ];
  const heading = `${run.scenario} ${run.policy} load=${run.loadPercent}% fault=${run.fault} ` +
    `declared=${run.declaredShare * 100}% fairness=${run.fairness.toFixed(3)} ` +
    `sent_to_leaving=${run.sentToLeaving} retries=${run.retries}`;
  return [heading, "", ...rows.map((row) => `| ${row.join(" | ")} |`), ""].join("\n");
}
