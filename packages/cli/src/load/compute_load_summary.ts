import { build } from "hdr-histogram-js";
import type { LoadOutcome } from "./load_outcome.ts";
import type { LoadSummary } from "./load_summary_schema.ts";

const MICROSECONDS_PER_MS = 1_000;

/** Computes the summary of one kind of request. */
export function computeLoadSummary(
  kind: string,
  outcomes: readonly LoadOutcome[],
  deadlineMs: number,
): LoadSummary {
  const count = (result: LoadOutcome["result"]) =>
    outcomes.filter((outcome) => outcome.result === result).length;
  const sum = (read: (outcome: LoadOutcome) => number) =>
    outcomes.reduce((total, outcome) => total + read(outcome), 0);
  const answered = outcomes.filter((outcome) => outcome.result === "answered");
  const inTime = answered.filter((outcome) => outcome.durationMs <= deadlineMs).length;
  return {
    kind,
    sent: outcomes.length,
    inTime,
    late: answered.length - inTime,
    refused: count("refused"),
    unknown: count("unknown"),
    failed: count("failed"),
    resumes: sum((outcome) => outcome.resumes),
    tokens: sum((outcome) => outcome.tokens),
    tokensLost: sum((outcome) => outcome.tokensLost),
    tokensDoubled: sum((outcome) => outcome.tokensDoubled),
    tokensOutOfOrder: sum((outcome) => outcome.tokensOutOfOrder),
    tokensForeign: sum((outcome) => outcome.tokensForeign),
    ordersDoubled: sum((outcome) => outcome.ordersDoubled),
    durationMs: computePercentiles(answered.map((outcome) => outcome.durationMs)),
    firstMs: computePercentiles(answered.flatMap((outcome) => outcome.firstMs ?? [])),
    gapMs: computePercentiles(answered.flatMap((outcome) => [...outcome.gapsMs])),
    codes: countCodes(outcomes),
  };
}

function computePercentiles(valuesMs: readonly number[]): LoadSummary["gapMs"] {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const value of valuesMs) {
    histogram.recordValue(Math.round(value * MICROSECONDS_PER_MS));
  }
  const read = (percentile: number) =>
    valuesMs.length === 0 ? 0 : histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return { p50: read(50), p99: read(99), p999: read(99.9) };
}

function countCodes(outcomes: readonly LoadOutcome[]): Record<string, number> {
  const codes: Record<string, number> = {};
  for (const { code } of outcomes) {
    if (code !== undefined) {
      codes[code] = (codes[code] ?? 0) + 1;
    }
  }
  return codes;
}
