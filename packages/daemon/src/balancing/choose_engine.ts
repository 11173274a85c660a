import type { RandomSource } from "@crocussail/protocol";
import type { EngineLimits } from "../routes/mod.ts";
import { BALANCING_LIMITS } from "./constants.ts";
import type { UpstreamCandidate } from "./upstream_candidate.ts";

/** What a generation requires of an engine. */
export interface EngineRequirements {
  readonly limits: EngineLimits;
  /** Prompt tokens that the engine has to prefill. */
  readonly prefillTokens: number;
  /** Tokens that the generation is expected to produce. */
  readonly outputTokens: number;
  /** Projected size of the KV cache, in tokens. */
  readonly memoryTokens: number;
  /** Maximum time to the first token; engines with a longer estimate are excluded. */
  readonly firstTokenMs: number;
  /** Maximum share of the engine's KV cache that may be in use. */
  readonly memoryShare: number;
  /** Selects among engines of nearly equal cost. */
  readonly random: RandomSource;
  /** Share by which the cost of a selected engine may exceed the minimum cost. */
  readonly costTolerance: number;
  /** Data centre to prefer if the KV cache has to be transferred; undefined otherwise. */
  readonly nearDataCentre?: string;
}

const CROSS_DATA_CENTRE_COST_MS = 150; // a transfer between data centres takes twice as long

/**
 * Chooses an engine with free capacity whose cost, the time that the generation takes and the delay
 * of the generations that run there, is close to the minimum; undefined if no engine has capacity.
 * Under a mix of long generations and short ones with long prompts, the long ones go to fast
 * engines and the short ones to engines where they delay few others. The random selection keeps
 * hosts that choose at the same moment from all selecting the same engine.
 */
export function chooseEngine(
  candidates: readonly UpstreamCandidate[],
  requirements: EngineRequirements,
): UpstreamCandidate | undefined {
  const costs = candidates.map((candidate) => computeCostMs(candidate, requirements));
  const minCostMs = Math.min(...costs);
  if (!Number.isFinite(minCostMs)) {
    return undefined;
  }
  if (requirements.costTolerance === 0) {
    return candidates[costs.indexOf(minCostMs)];
  }
  const maxCostMs = minCostMs * (1 + requirements.costTolerance);
  const eligible = candidates.filter((_candidate, index) =>
    (costs[index] ?? Infinity) <= maxCostMs
  );
  return eligible[requirements.random.nextInteger(eligible.length)];
}

function computeCostMs(
  { upstream, load, conduct }: UpstreamCandidate,
  requirements: EngineRequirements,
): number {
  const projectedTokens = load.memoryTokens + requirements.memoryTokens;
  const prefillWaitMs = load.prefillingTokens / conduct.tokensPerMs;
  const hasRoom = load.inFlight < Math.min(upstream.record.slots, requirements.limits.slots) &&
    projectedTokens <= requirements.limits.memoryTokens * requirements.memoryShare;
  const prefillMs = requirements.prefillTokens / conduct.tokensPerMs;
  if (
    !hasRoom || prefillWaitMs > BALANCING_LIMITS.maxPrefillWaitMs ||
    prefillWaitMs + prefillMs > requirements.firstTokenMs
  ) {
    return Number.POSITIVE_INFINITY;
  }
  const decodeMs = requirements.outputTokens * conduct.tokenMs;
  const delayMs = prefillMs * load.inFlight;
  const share = projectedTokens / requirements.limits.memoryTokens;
  const isRemote = requirements.nearDataCentre !== undefined &&
    requirements.nearDataCentre !== upstream.record.dataCentre;
  const costMs = prefillWaitMs + prefillMs + BALANCING_LIMITS.decodeTimeWeight * decodeMs +
    BALANCING_LIMITS.delayWeight * delayMs + BALANCING_LIMITS.fullMemoryCostMs * share * share;
  return costMs * (1 + BALANCING_LIMITS.failureCost * conduct.failureShare) +
    (isRemote ? CROSS_DATA_CENTRE_COST_MS : 0);
}
