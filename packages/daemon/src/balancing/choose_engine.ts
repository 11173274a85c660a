import type { RandomSource } from "@crocussail/protocol";
import type { EngineLimits } from "../routes/mod.ts";
import { chooseByShare } from "./choose_by_share.ts";
import { computeFillShares } from "./compute_fill_shares.ts";
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
  /** Selects among engines if other hosts choose at the same moment. */
  readonly random: RandomSource;
  /** Generations that other hosts are expected to place before they know of this one. */
  readonly concurrentChoices: number;
  /** Data centre to prefer if the KV cache has to be transferred; undefined otherwise. */
  readonly nearDataCentre?: string;
}

const CROSS_DATA_CENTRE_COST_MS = 150; // a transfer between data centres takes twice as long
const MIN_ADDED_COST_MS = 1;

/**
 * Chooses an engine with free capacity; undefined if none has. The cost of an engine is the time
 * that the generation takes there and the delay of the generations that run there. Under a mix of
 * long generations and short ones with long prompts, the long ones go to fast engines and the short
 * ones to engines where they delay few others. If other hosts choose at the same moment, the engine
 * is drawn from those that all of their generations would fill first, so that not all hosts select
 * the one with the minimum cost.
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
  if (requirements.concurrentChoices === 0) {
    return candidates[costs.indexOf(minCostMs)];
  }
  const fillCandidates = candidates.map((candidate, index) => {
    const cost = costs[index] ?? Number.POSITIVE_INFINITY;
    const room = Number.isFinite(cost) ? countRoom(candidate, requirements) : 0;
    const full = addRequests(candidate, requirements, Math.max(1, room));
    const addedCost = (computeLoadedCostMs(full, requirements) - cost) / Math.max(1, room);
    return { cost, addedCost: Math.max(MIN_ADDED_COST_MS, addedCost), room: computeSafeRoom(room) };
  });
  const shares = computeFillShares(fillCandidates, 1 + requirements.concurrentChoices);
  const index = chooseByShare(shares, requirements.random);
  return index === undefined ? undefined : candidates[index];
}

/** The engine as it is with more generations of the same size. */
function addRequests(
  candidate: UpstreamCandidate,
  { memoryTokens, prefillTokens }: EngineRequirements,
  count: number,
): UpstreamCandidate {
  const { load } = candidate;
  return {
    ...candidate,
    load: {
      inFlight: load.inFlight + count,
      memoryTokens: load.memoryTokens + memoryTokens * count,
      prefillingTokens: load.prefillingTokens + prefillTokens * count,
    },
  };
}

/**
 * Computes how many requests may be expected where there is room for `room`: independent random
 * choices exceed their expected number by about its square root.
 */
function computeSafeRoom(room: number): number {
  return room === 0 ? 0 : room / (1 + 1 / Math.sqrt(room));
}

/** Counts the generations of this size that fit into the engine's slots and planned memory. */
function countRoom(
  { upstream, load }: UpstreamCandidate,
  { limits, memoryTokens, memoryShare }: EngineRequirements,
): number {
  const slots = Math.min(upstream.record.slots, limits.slots) - load.inFlight;
  const freeTokens = limits.memoryTokens * memoryShare - load.memoryTokens;
  return Math.max(0, Math.min(slots, Math.floor(freeTokens / Math.max(1, memoryTokens))));
}

/** Computes the cost of an engine, infinite if it has no room or is too slow. */
function computeCostMs(candidate: UpstreamCandidate, requirements: EngineRequirements): number {
  const { load, conduct } = candidate;
  const prefillWaitMs = load.prefillingTokens / conduct.tokensPerMs;
  const prefillMs = requirements.prefillTokens / conduct.tokensPerMs;
  if (
    countRoom(candidate, requirements) === 0 ||
    prefillWaitMs > BALANCING_LIMITS.maxPrefillWaitMs ||
    prefillWaitMs + prefillMs > requirements.firstTokenMs
  ) {
    return Number.POSITIVE_INFINITY;
  }
  return computeLoadedCostMs(candidate, requirements);
}

function computeLoadedCostMs(
  { upstream, load, conduct }: UpstreamCandidate,
  requirements: EngineRequirements,
): number {
  const prefillWaitMs = load.prefillingTokens / conduct.tokensPerMs;
  const prefillMs = requirements.prefillTokens / conduct.tokensPerMs;
  const decodeMs = requirements.outputTokens * conduct.tokenMs;
  const delayMs = prefillMs * load.inFlight;
  const share = (load.memoryTokens + requirements.memoryTokens) / requirements.limits.memoryTokens;
  const isRemote = requirements.nearDataCentre !== undefined &&
    requirements.nearDataCentre !== upstream.record.dataCentre;
  const costMs = prefillWaitMs + prefillMs + BALANCING_LIMITS.decodeTimeWeight * decodeMs +
    BALANCING_LIMITS.delayWeight * delayMs + BALANCING_LIMITS.fullMemoryCostMs * share * share;
  return costMs * (1 + BALANCING_LIMITS.failureCost * conduct.failureShare) +
    (isRemote ? CROSS_DATA_CENTRE_COST_MS : 0);
}
