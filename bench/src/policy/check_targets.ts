import type { KindFigures } from "./kind_figures.ts";
import type { RunResult } from "./run_options.ts";

/** One target of the policy and whether the runs met it. */
export interface TargetFinding {
  readonly target: string;
  readonly scenario: string;
  readonly isMet: boolean;
  readonly detail: string;
}

const URGENT_CLASS = 2;
const STALL_SHARE = 1 / 5;
const GAP_SHARE = 1 / 2;
const GOODPUT_SHARE = 0.95;
const URGENT_IN_TIME_SHARE = 0.99;
const POLICY = "crocussail";
const BASELINE = "least_in_flight";

/** Checks the stated targets against the runs without faults and without declared lengths. */
export function checkTargets(results: readonly RunResult[]): TargetFinding[] {
  const faultless = results.filter((run) => run.fault === "none" && run.declaredShare === 0);
  const scenarios = [...new Set(faultless.map((run) => run.scenario))];
  return scenarios.flatMap((scenario) => {
    const runs = faultless.filter((run) => run.scenario === scenario);
    return [...checkNominalLoad(runs), ...checkOverload(runs)]
      .map((finding) => ({ scenario, ...finding }));
  });
}

type Finding = Omit<TargetFinding, "scenario">;

function checkNominalLoad(runs: readonly RunResult[]): Finding[] {
  const nominal = runs.filter((run) => run.loadPercent === 100);
  const crocussailRun = nominal.find((run) => run.policy === POLICY);
  const baselineRun = nominal.find((run) => run.policy === BASELINE);
  if (crocussailRun === undefined || baselineRun === undefined) {
    return [];
  }
  const bestGoodput = Math.max(
    ...nominal.filter((run) => run !== crocussailRun).map((run) =>
      computeTotal(run, ({ goodput }) => goodput)
    ),
  );
  return [
    compareSums(
      "stall time at most 1/5",
      crocussailRun,
      baselineRun,
      STALL_SHARE,
      ({ stallMs }) => stallMs,
    ),
    compareSums(
      "preemptions at most 1/5",
      crocussailRun,
      baselineRun,
      STALL_SHARE,
      (kind) => kind.preemptions,
    ),
    ...crocussailRun.kinds.flatMap((kind) => compareKind(kind, baselineRun)),
    describeFinding(
      "goodput at least 95% of the best baseline",
      computeTotal(crocussailRun, ({ goodput }) => goodput),
      bestGoodput * GOODPUT_SHARE,
      "atLeast",
    ),
  ];
}

function compareKind(kind: KindFigures, baselineRun: RunResult): Finding[] {
  const baselineKind = baselineRun.kinds.find((each) => each.kind === kind.kind);
  if (baselineKind === undefined) {
    return [];
  }
  const inTime = describeFinding(
    `${kind.kind}: no fewer in time`,
    kind.inTime,
    baselineKind.inTime,
    "atLeast",
  );
  if (kind.urgency > URGENT_CLASS) {
    return [inTime];
  }
  const target = `${kind.kind}: p99 token gap at most half`;
  return [inTime, describeFinding(target, kind.gapP99, baselineKind.gapP99 * GAP_SHARE, "atMost")];
}

function checkOverload(runs: readonly RunResult[]): Finding[] {
  const crocussailRun = runs.find((run) => run.loadPercent === 120 && run.policy === POLICY);
  return (crocussailRun?.kinds ?? [])
    .filter(({ urgency }) => urgency <= URGENT_CLASS)
    .map((kind) => {
      const target = `${kind.kind}: 99% in time at 120%`;
      const share = kind.inTime / kind.requests;
      return describeFinding(target, share, URGENT_IN_TIME_SHARE, "atLeast");
    });
}

function compareSums(
  target: string,
  crocussailRun: RunResult,
  baselineRun: RunResult,
  share: number,
  read: (kind: KindFigures) => number,
): Finding {
  return describeFinding(
    target,
    computeTotal(crocussailRun, read),
    computeTotal(baselineRun, read) * share,
    "atMost",
  );
}

function computeTotal(run: RunResult, read: (kind: KindFigures) => number): number {
  return run.kinds.reduce((sum, kind) => sum + read(kind), 0);
}

function describeFinding(
  target: string,
  value: number,
  bound: number,
  direction: "atMost" | "atLeast",
): Finding {
  const isMet = direction === "atMost" ? value <= bound : value >= bound;
  const sign = direction === "atMost" ? "<=" : ">=";
  return { target, isMet, detail: `${value.toFixed(3)} ${sign} ${bound.toFixed(3)}` };
}
