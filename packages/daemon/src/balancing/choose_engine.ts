import type { RandomSource } from "@crocussail/protocol";
import type { EngineLimits } from "../routes/mod.ts";
import { BALANCING_LIMITS } from "./constants.ts";
import type { UpstreamCandidate } from "./upstream_candidate.ts";

/** What a generation needs of an engine. */
export interface EngineNeed {
  readonly limits: EngineLimits;
  /** Tokens of the prompt that the engine has to read. */
  readonly readTokens: number;
  /** Tokens that the generation is expected to produce. */
  readonly outputTokens: number;
  /** Projected memory, in tokens. */
  readonly memoryTokens: number;
  /** Time within which its first token is wanted; engines that would take longer are left out. */
  readonly firstTokenMs: number;
  /** Share of the memory up to which the engine may be filled. */
  readonly memoryShare: number;
  /** Draws among engines of nearly equal cost. */
  readonly random: RandomSource;
  /** Share of the least cost by which an engine that is drawn may cost more. */
  readonly nearCostShare: number;
  /** Data centre to prefer where the memory has to be moved; undefined where it has not. */
  readonly nearDataCentre?: string;
}

const FAR_COST_MS = 150; // a move between data centres takes twice as long

/**
 * Chooses an engine with room that costs the generation and those beside it nearly the least time;
 * undefined when none has room. Answers load of long generations and short ones with long prompts on
 * engines of different speed: the long ones go to fast engines, the short ones where few are delayed;
 * and hosts that choose at the same moment, which do not all take the same engine.
 */
export function chooseEngine(
  candidates: readonly UpstreamCandidate[],
  need: EngineNeed,
): UpstreamCandidate | undefined {
  const costs = candidates.map((candidate) => computeCostMs(candidate, need));
  const leastMs = Math.min(...costs);
  if (!Number.isFinite(leastMs)) {
    return undefined;
  }
  if (need.nearCostShare === 0) {
    return candidates[costs.indexOf(leastMs)];
  }
  const limitMs = leastMs * (1 + need.nearCostShare);
  const near = candidates.filter((_candidate, index) => (costs[index] ?? Infinity) <= limitMs);
  return near[need.random.nextInteger(near.length)];
}

function computeCostMs({ upstream, load, conduct }: UpstreamCandidate, need: EngineNeed): number {
  const filled = load.memoryTokens + need.memoryTokens;
  const waitMs = load.readingTokens / conduct.tokensPerMs;
  const hasRoom = load.flights < Math.min(upstream.record.slots, need.limits.slots) &&
    filled <= need.limits.memoryTokens * need.memoryShare;
  const readMs = need.readTokens / conduct.tokensPerMs;
  if (
    !hasRoom || waitMs > BALANCING_LIMITS.maxReadingMs || waitMs + readMs > need.firstTokenMs
  ) {
    return Number.POSITIVE_INFINITY;
  }
  const runMs = need.outputTokens * conduct.tokenMs;
  const delayMs = readMs * load.flights;
  const share = filled / need.limits.memoryTokens;
  const isFar = need.nearDataCentre !== undefined &&
    need.nearDataCentre !== upstream.record.dataCentre;
  const costMs = waitMs + readMs + BALANCING_LIMITS.runTimeWeight * runMs +
    BALANCING_LIMITS.delayWeight * delayMs + BALANCING_LIMITS.fullMemoryCostMs * share * share;
  return costMs * (1 + BALANCING_LIMITS.failureCost * conduct.failureShare) +
    (isFar ? FAR_COST_MS : 0);
}
