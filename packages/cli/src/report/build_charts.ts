import type { TraceLine } from "../common/trace_line.ts";
import { decideReportedEnd } from "./decide_reported_end.ts";
import type { ReportedEnd } from "./decide_reported_end.ts";
import type { DayChart, DaySeries } from "./day_series.ts";

const ENDS: readonly ReportedEnd[] = ["inTime", "late", "answered", "refused", "lost", "left"];
const KINDS: readonly (readonly [string, string])[] = [
  ["repeatable", "Requests that may be repeated"],
  ["once", "Requests that may run once"],
  ["stream", "Generations"],
];
/** Events that tell of moves, and their names in the chart. */
const MOVES: readonly (readonly [string, string])[] = [
  ["moveStarted", "started"],
  ["generationContinued", "went on elsewhere"],
  ["moveFailed", "step failed"],
  ["answerCut", "answer cut"],
];
/** Upstreams with the most placed memory that are shown; more lines cannot be told apart. */
const MAX_UPSTREAMS = 12;
const MS_PER_SECOND = 1_000;

/** Builds the charts of a day from its log lines; a kind without requests has no chart. */
export function buildCharts(lines: readonly TraceLine[]): DayChart[] {
  const startMs = lines.reduce((least, { time }) => Math.min(least, Date.parse(time)), Infinity);
  const endMs = lines.reduce((most, { time }) => Math.max(most, Date.parse(time)), -Infinity);
  const seconds = Math.floor((endMs - startMs) / MS_PER_SECOND) + 1;
  const readSecond = ({ time }: TraceLine) =>
    Math.floor((Date.parse(time) - startMs) / MS_PER_SECOND);
  const countBySecond = (name: string, chosen: readonly TraceLine[]): DaySeries => {
    const counts = new Array<number>(seconds).fill(0);
    for (const line of chosen) {
      const second = readSecond(line);
      counts[second] = (counts[second] ?? 0) + 1;
    }
    return { name, points: counts.map((count, second) => [second, count]) };
  };

  const served = lines.filter(({ name }) => name === "requestServed");
  const answers = KINDS.map(([kind, title]): DayChart => {
    const own = served.filter(({ fields }) => fields["kind"] === kind);
    return {
      title: `${title}, by what callers got`,
      unit: "requests a second",
      isStacked: true,
      series: own.length === 0
        ? []
        : ENDS.map((end) =>
          countBySecond(end, own.filter((line) => decideReportedEnd(line) === end))
        ),
    };
  });
  const moves: DayChart = {
    title: "Generations taken from one engine to another",
    unit: "a second",
    isStacked: false,
    series: MOVES.map(([event, name]) =>
      countBySecond(name, lines.filter((line) => line.name === event))
    ).filter(({ points }) => points.some(([, value]) => value > 0)),
  };
  const memory: DayChart = {
    title: "Memory of engines as known where a generation was placed",
    unit: "tokens",
    isStacked: false,
    series: buildMemorySeries(lines, readSecond),
  };
  return [...answers, moves, memory].filter(({ series }) => series.length > 0);
}

function buildMemorySeries(
  lines: readonly TraceLine[],
  readSecond: (line: TraceLine) => number,
): DaySeries[] {
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
    .map(([name, points]): DaySeries => ({
      name,
      points: [...points].sort(([left], [right]) => left - right),
    }))
    .sort((left, right) => right.points.length - left.points.length)
    .slice(0, MAX_UPSTREAMS);
}
