import { createTrafficRandom } from "./create_traffic_random.ts";
import { ENGINE_SHAPE } from "./engine_shape.ts";
import { sampleRequest } from "./sample_request.ts";
import type { EngineGroup, Scenario } from "./scenario.ts";

const SAMPLES = 20_000;
const SEED = 1;
const USABLE_MEMORY_SHARE = 0.9;
const CACHE_HIT_SHARE = 0.5;

/**
 * Estimates the requests a second that a group can serve, which is a load of 100%. Every engine
 * runs as many generations as fit into nine tenths of its memory or as keep the token gap within
 * its target, whichever is fewer. The estimate depends on the traffic and the engines only, not on
 * a policy.
 */
export function estimateCapacity(scenario: Scenario, group: number): number {
  const random = createTrafficRandom(SEED);
  let outputSum = 0;
  let promptSum = 0;
  let uncachedSum = 0;
  let memorySum = 0;
  for (let index = 0; index < SAMPLES; index++) {
    const sample = sampleRequest({ scenario, group, declaredShare: 0, random });
    outputSum += sample.outputTokens;
    promptSum += sample.promptTokens;
    uncachedSum += sample.promptTokens - CACHE_HIT_SHARE * sample.prefix.tokens;
    memorySum += sample.outputTokens * (sample.promptTokens + sample.outputTokens / 2);
  }
  const footprint = memorySum / outputSum;
  const prefillMs = ENGINE_SHAPE.prefillTokenMs * uncachedSum / SAMPLES;
  const meanOutput = outputSum / SAMPLES;
  const { speeds, capacities } = scenario.groups[group] as EngineGroup;
  return speeds.reduce((sum, speed, index) => {
    const byMemory = USABLE_MEMORY_SHARE * (capacities[index] as number) / footprint;
    const byGap = (ENGINE_SHAPE.tokenGapMs * speed - ENGINE_SHAPE.baseStepMs) /
      ENGINE_SHAPE.sequenceStepMs;
    const batch = Math.min(byMemory, byGap, ENGINE_SHAPE.maxBatch);
    const stepMs = ENGINE_SHAPE.baseStepMs + ENGINE_SHAPE.sequenceStepMs * batch;
    const tokensPerMs = batch * speed / (stepMs + batch * prefillMs / meanOutput);
    return sum + 1_000 * tokensPerMs / meanOutput;
  }, 0);
}
