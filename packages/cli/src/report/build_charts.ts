import type { LogLine } from "../common/log_line.ts";
import { decideReportedEnd } from "./decide_reported_end.ts";
import { listServedLines } from "./list_served_lines.ts";
import type { ReportedEnd } from "./decide_reported_end.ts";
import type { ChartSeries, ReportChart } from "./report_chart.ts";

const ENDS: readonly ReportedEnd[] = ["inTime", "late", "answered", "refused", "lost", "left"];
const KINDS: readonly (readonly [string, string])[] = [
  ["repeatable", "Requests that may be repeated"],
  ["once", "Requests that may run only once"],
  ["stream", "Generations"],
];
/** Events about migrations, and their names in the chart. */
const MIGRATION_EVENTS: readonly (readonly [string, string])[] = [
  ["moveStarted", "started"],
  ["generationContinued", "continued at another engine"],
  ["moveFailed", "step failed"],
  ["answerCut", "response cut off"],
];
/** Maximum number of upstreams shown, those with the most points; more lines are hard to read. */
const MAX_UPSTREAMS = 12;
const MS_PER_SECOND = 1_000;

/** Builds the charts of a report from log lines; a kind without requests has no chart. */
export function buildCharts(lines: readonly LogLine[]): ReportChart[] {
  const startMs = lines.reduce(
    (earliestMs, { time }) => Math.min(earliestMs, Date.parse(time)),
    Infinity,
  );
  const endMs = lines.reduce(
    (latestMs, { time }) => Math.max(latestMs, Date.parse(time)),
    -Infinity,
  );
  const seconds = Math.floor((endMs - startMs) / MS_PER_SECOND) + 1;
  const readSecond = ({ time }: LogLine) =>
    Math.floor((Date.parse(time) - startMs) / MS_PER_SECOND);
  const countBySecond = (name: string, selected: readonly LogLine[]): ChartSeries => {
    const counts = new Array<number>(seconds).fill(0);
    for (const line of selected) {
      const second = readSecond(line);
      counts[second] = (counts[second] ?? 0) + 1;
    }
    return { name, points: counts.map((count, second) => [second, count]) };
  };

  const servedLines = listServedLines(lines);
  const requestCharts = KINDS.map(([kind, title]): ReportChart => {
    const kindLines = servedLines.filter(({ fields }) => fields["kind"] === kind);
    return {
      title: `${title}, by result`,
      unit: "requests per second",
      isStacked: true,
      series: kindLines.length === 0
        ? []
        : ENDS.map((end) =>
          countBySecond(end, kindLines.filter((line) => decideReportedEnd(line) === end))
        ),
    };
  });
  const moves: ReportChart = {
    title: "Generations migrated between engines",
    unit: "per second",
    isStacked: false,
    series: MIGRATION_EVENTS.map(([event, name]) =>
      countBySecond(name, lines.filter((line) => line.name === event))
    ).filter(({ points }) => points.some(([, value]) => value > 0)),
  };
  const memoryChart: ReportChart = {
    title: "Memory of engines, as known to the host when it placed a generation",
    unit: "tokens",
    isStacked: false,
    series: buildMemorySeries(lines, readSecond),
  };
  return [...requestCharts, moves, memoryChart].filter(({ series }) => series.length > 0);
}

function buildMemorySeries(
  lines: readonly LogLine[],
  readSecond: (line: LogLine) => number,
): ChartSeries[] {
  const byUpstream = new Map<string, Map<number, number>>();
  for (const line of lines) {
    const tokens = line.fields["memoryTokens"];
    if (line.name !== "requestPlaced" || typeof tokens !== "number") {
      continue;
    }
    const id = String(line.fields["upstream"]);
    const points = byUpstream.get(id) ?? new Map<number, number>();
    const second = readSecond(line);
    points.set(second, Math.max(points.get(second) ?? 0, tokens));
    byUpstream.set(id, points);
  }
  return [...byUpstream]
    .map(([name, points]): ChartSeries => ({
      name,
      points: [...points].sort(([left], [right]) => left - right),
    }))
    .sort((left, right) => right.points.length - left.points.length)
    .slice(0, MAX_UPSTREAMS);
}
