import type { Upstream } from "../upstreams/mod.ts";
import { computeLoads } from "./compute_loads.ts";
import { BALANCING_LIMITS } from "./constants.ts";
import type { LoadState, ObservedPerformance } from "./load_state.ts";
import type { UpstreamCandidate } from "./upstream_candidate.ts";

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
  const observed = upstreams.map(({ record }) => mergePerformance(reports, record.id));
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

function mergePerformance(
  reports: readonly ReadonlyMap<string, ObservedPerformance>[],
  id: string,
): ObservedPerformance {
  const all: ObservedPerformance[] = [];
  for (const report of reports) {
    const conduct = report.get(id);
    if (conduct !== undefined) {
      all.push(conduct);
    }
  }
  return {
    tokensPerMs: computeMean(all.map(({ tokensPerMs }) => tokensPerMs)),
    tokenMs: computeMean(all.map(({ tokenMs }) => tokenMs)),
    failureShare: computeMean(all.map(({ failureShare }) => failureShare)) ?? 0,
  };
}

function computeMean(values: readonly (number | undefined)[]): number | undefined {
  const known = values.filter((value) => value !== undefined);
  return known.length === 0
    ? undefined
    : known.reduce((sum, value) => sum + value, 0) / known.length;
}
