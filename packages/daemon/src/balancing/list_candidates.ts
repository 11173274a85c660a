import type { Upstream } from "../upstreams/mod.ts";
import { computeLoads } from "./compute_loads.ts";
import { BALANCING_LIMITS } from "./constants.ts";
import type { LoadState, ObservedPerformance } from "./load_state.ts";
import type { UpstreamCandidate } from "./upstream_candidate.ts";

/** What is known of an upstream that no host has observed. */
const NOT_OBSERVED: ObservedPerformance = {
  tokensPerMs: undefined,
  tokenMs: undefined,
  failureShare: 0,
};

/**
 * Joins upstreams with their loads and observed performance. Each host observes few requests, so
 * the observations of all hosts are averaged; an upstream without observations is assumed to be
 * average.
 */
export function listCandidates(
  state: LoadState,
  upstreams: readonly Upstream[],
  nowMs: number,
): UpstreamCandidate[] {
  const loads = computeLoads(state, nowMs);
  const reports = [
    state.conduct,
    ...[...state.peers.values()].filter(({ expiresAtMs }) => nowMs <= expiresAtMs)
      .map(({ conduct }) => conduct),
  ];
  const merged = mergePerformance(reports);
  const observed = upstreams.map(({ record }) => merged.get(record.id) ?? NOT_OBSERVED);
  const meanTokensPerMs = computeMean(observed.map(({ tokensPerMs }) => tokensPerMs)) ??
    BALANCING_LIMITS.initialTokensPerMs;
  const meanTokenMs = computeMean(observed.map(({ tokenMs }) => tokenMs)) ??
    BALANCING_LIMITS.initialTokenMs;
  return upstreams.map((upstream, index) => {
    const conduct = observed[index];
    const factor = nowMs < upstream.slowUntilMs ? BALANCING_LIMITS.slowStartFactor : 1;
    return {
      upstream,
      load: loads.get(upstream.record.id) ?? { inFlight: 0, memoryTokens: 0, prefillingTokens: 0 },
      conduct: {
        tokensPerMs: (conduct?.tokensPerMs ?? meanTokensPerMs) * factor,
        tokenMs: conduct?.tokenMs ?? meanTokenMs,
        failureShare: conduct?.failureShare ?? 0,
      },
    };
  });
}

/** Sums of the observations of one upstream by several hosts. */
interface PerformanceSum {
  tokensPerMs: number;
  tokensPerMsCount: number;
  tokenMs: number;
  tokenMsCount: number;
  failureShare: number;
  count: number;
}

/**
 * Averages the observations of each upstream. Reports hold a few upstreams each, so reading them
 * once costs less than looking up each upstream in each report.
 */
function mergePerformance(
  reports: readonly ReadonlyMap<string, ObservedPerformance>[],
): Map<string, ObservedPerformance> {
  const sums = new Map<string, PerformanceSum>();
  for (const report of reports) {
    for (const [id, observed] of report) {
      const sum = sums.get(id) ?? createSum();
      sums.set(id, sum);
      addPerformance(sum, observed);
    }
  }
  return new Map([...sums].map(([id, sum]) => [id, {
    tokensPerMs: sum.tokensPerMsCount === 0 ? undefined : sum.tokensPerMs / sum.tokensPerMsCount,
    tokenMs: sum.tokenMsCount === 0 ? undefined : sum.tokenMs / sum.tokenMsCount,
    failureShare: sum.failureShare / sum.count,
  }]));
}

function createSum(): PerformanceSum {
  return {
    tokensPerMs: 0,
    tokensPerMsCount: 0,
    tokenMs: 0,
    tokenMsCount: 0,
    failureShare: 0,
    count: 0,
  };
}

function addPerformance(sum: PerformanceSum, observed: ObservedPerformance): void {
  if (observed.tokensPerMs !== undefined) {
    sum.tokensPerMs += observed.tokensPerMs;
    sum.tokensPerMsCount++;
  }
  if (observed.tokenMs !== undefined) {
    sum.tokenMs += observed.tokenMs;
    sum.tokenMsCount++;
  }
  sum.failureShare += observed.failureShare;
  sum.count++;
}

function computeMean(values: readonly (number | undefined)[]): number | undefined {
  const known = values.filter((value) => value !== undefined);
  return known.length === 0
    ? undefined
    : known.reduce((sum, value) => sum + value, 0) / known.length;
}
