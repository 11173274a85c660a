import { BALANCING_LIMITS } from "./constants.ts";
import type { UpstreamCandidate } from "./upstream_candidate.ts";

/** What the number of other hosts' choices is estimated from. */
export interface ConcurrentChoiceInputs {
  /** Hosts of the fleet. */
  readonly hosts: number;
  readonly candidates: readonly UpstreamCandidate[];
  /** Prompt tokens of a typical generation. */
  readonly promptTokens: number;
  /** Counts the generations on upstreams that drain: their hosts choose others for them now. */
  readonly countDraining: () => number;
}

/**
 * Estimates how many generations other hosts place between the reports that this host has of them
 * and the moment at which its own placement is known to them. In a small fleet reports arrive within
 * some 10 ms, so it is 0 there.
 */
export function estimateConcurrentChoices(inputs: ConcurrentChoiceInputs): number {
  const { hosts, candidates, promptTokens } = inputs;
  if (hosts <= BALANCING_LIMITS.maxFreshHosts || candidates.length === 0) {
    return 0;
  }
  const prefillingTokens = candidates.reduce((sum, { load }) => sum + load.prefillingTokens, 0);
  const tokensPerMs = candidates.reduce((sum, { conduct }) => sum + conduct.tokensPerMs, 0) /
    candidates.length;
  const prompt = Math.max(1, promptTokens);
  // By Little's law, the placements a millisecond are those in prefill by the time that takes.
  const placedPerMs = (prefillingTokens / prompt) / (prompt / tokensPerMs);
  // A faulty report may hold negative loads, which must not leave all engines without a share.
  return Math.max(0, placedPerMs) * BALANCING_LIMITS.relayedReportAgeMs + inputs.countDraining();
}
