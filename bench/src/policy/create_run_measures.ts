import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { ENGINE_SHAPE } from "./engine_shape.ts";
import type { KindFigures } from "./kind_figures.ts";
import type { KindSpec } from "./scenario.ts";
import type { TrafficRequest } from "./traffic_request.ts";

/** How a request ended. */
export type RequestEnd = "finished" | "refused" | "lost";

/** Collects the figures of one run. */
export interface RunMeasures {
  recordArrival(request: TrafficRequest): void;
  recordFirstToken(request: TrafficRequest, waitMs: number, stallMs: number): void;
  recordGap(request: TrafficRequest, gapMs: number, count: number): void;
  recordPause(request: TrafficRequest): void;
  recordPausedTime(request: TrafficRequest, pausedMs: number): void;
  recordDuplicate(request: TrafficRequest): void;
  recordEnd(request: TrafficRequest, end: RequestEnd, atMs: number): void;
  buildFigures(durationMs: number): KindFigures[];
  /** Jain's fairness index over the teams' shares of requests completed in time; 1 is equal. */
  computeFairness(): number;
}

interface KindTally {
  readonly spec: KindSpec;
  readonly gapHistogram: Histogram;
  readonly firstTokenHistogram: Histogram;
  requests: number;
  inTime: number;
  late: number;
  refused: number;
  lost: number;
  duplicated: number;
  gapCount: number;
  gapsWithinTarget: number;
  firstTokensWithinTarget: number;
  stallMs: number;
  pausedMs: number;
  firstWaitMs: number;
  preemptions: number;
  goodTokens: number;
}

const FIRST_TOKEN_TARGET_MS = 1_200;
/** Histograms count in hundredths of a millisecond. */
const UNITS_PER_MS = 100;
const MAX_UNITS = 100 * 3_600_000;
const SIGNIFICANT_DIGITS = 3;

/** Creates empty measures. */
export function createRunMeasures(): RunMeasures {
  const tallies = new Map<string, KindTally>();
  const teams = new Map<string, { requests: number; inTime: number }>();

  const getTally = ({ kind }: TrafficRequest): KindTally => {
    const known = tallies.get(kind.name);
    const tally = known ?? createTally(kind);
    tallies.set(kind.name, tally);
    return tally;
  };

  return {
    recordArrival: (request) => {
      getTally(request).requests += 1;
      const team = teams.get(request.team) ?? { requests: 0, inTime: 0 };
      team.requests += 1;
      teams.set(request.team, team);
    },
    recordFirstToken: (request, waitMs, stallMs) => {
      const tally = getTally(request);
      tally.firstTokenHistogram.recordValue(toUnits(waitMs));
      tally.firstTokensWithinTarget += waitMs <= FIRST_TOKEN_TARGET_MS ? 1 : 0;
      tally.firstWaitMs += waitMs;
      tally.stallMs += stallMs;
    },
    recordGap: (request, gapMs, count) => {
      const tally = getTally(request);
      tally.gapHistogram.recordValueWithCount(toUnits(gapMs), count);
      tally.gapCount += count;
      tally.gapsWithinTarget += gapMs <= ENGINE_SHAPE.tokenGapMs ? count : 0;
    },
    recordPause: (request) => {
      getTally(request).preemptions += 1;
    },
    recordPausedTime: (request, pausedMs) => {
      const tally = getTally(request);
      tally.pausedMs += pausedMs;
      tally.stallMs += pausedMs;
    },
    recordDuplicate: (request) => {
      getTally(request).duplicated += 1;
    },
    recordEnd: (request, end, atMs) => {
      const tally = getTally(request);
      const isInTime = end === "finished" && atMs <= request.atMs + request.kind.deadlineMs;
      const column = isInTime ? "inTime" : end === "finished" ? "late" : end;
      tally[column] += 1;
      tally.goodTokens += isInTime ? request.outputTokens : 0;
      const team = teams.get(request.team);
      if (team !== undefined && isInTime) {
        team.inTime += 1;
      }
    },
    buildFigures: (durationMs) =>
      [...tallies.values()].map((tally) => buildKindFigures(tally, durationMs)),
    computeFairness: () => {
      const shares = [...teams.values()].map((team) => team.inTime / team.requests);
      const sum = shares.reduce((total, share) => total + share, 0);
      const squares = shares.reduce((total, share) => total + share * share, 0);
      return squares === 0 ? 0 : sum * sum / (shares.length * squares);
    },
  };
}

function createTally(spec: KindSpec): KindTally {
  const createHistogram = () =>
    build({
      highestTrackableValue: MAX_UNITS,
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    });
  return {
    spec,
    gapHistogram: createHistogram(),
    firstTokenHistogram: createHistogram(),
    requests: 0,
    inTime: 0,
    late: 0,
    refused: 0,
    lost: 0,
    duplicated: 0,
    gapCount: 0,
    gapsWithinTarget: 0,
    firstTokensWithinTarget: 0,
    stallMs: 0,
    pausedMs: 0,
    firstWaitMs: 0,
    preemptions: 0,
    goodTokens: 0,
  };
}

function buildKindFigures(tally: KindTally, durationMs: number): KindFigures {
  const readPercentile = (histogram: Histogram, percentile: number) =>
    histogram.getValueAtPercentile(percentile) / UNITS_PER_MS;
  return {
    kind: tally.spec.name,
    urgency: tally.spec.urgency,
    requests: tally.requests,
    inTime: tally.inTime,
    late: tally.late,
    refused: tally.refused,
    lost: tally.lost,
    duplicated: tally.duplicated,
    firstTokenShare: tally.firstTokensWithinTarget / Math.max(1, tally.requests),
    gapShare: tally.gapsWithinTarget / Math.max(1, tally.gapCount),
    stallMs: tally.stallMs,
    pausedMs: tally.pausedMs,
    firstWaitMs: tally.firstWaitMs,
    preemptions: tally.preemptions,
    gapP50: readPercentile(tally.gapHistogram, 50),
    gapP99: readPercentile(tally.gapHistogram, 99),
    gapP999: readPercentile(tally.gapHistogram, 99.9),
    firstTokenP50: readPercentile(tally.firstTokenHistogram, 50),
    firstTokenP99: readPercentile(tally.firstTokenHistogram, 99),
    goodput: 1_000 * tally.goodTokens / durationMs,
  };
}

function toUnits(milliseconds: number): number {
  return Math.max(1, Math.round(milliseconds * UNITS_PER_MS));
}
