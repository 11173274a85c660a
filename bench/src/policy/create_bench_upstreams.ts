import { createOwnerState } from "@crocussail/daemon/policy";
import { createEngineModel } from "@crocussail/stand_ins";
import type { EngineSink } from "@crocussail/stand_ins";
import type { BenchUpstream } from "./in_flight_request.ts";
import { ENGINE_SHAPE } from "./engine_shape.ts";
import type { RunOptions } from "./run_options.ts";

/** Creates the engines of a scenario, each with an admission owner for the policy of the run. */
export function createBenchUpstreams(
  options: RunOptions,
  createSink: (name: string) => EngineSink,
): BenchUpstream[] {
  return options.scenario.groups.flatMap((group, groupIndex) =>
    group.speeds.map((speed, index) => {
      const name = `${group.model}-${index + 1}`;
      const capacityTokens = group.capacities[index] as number;
      // Simulated engine; group.model names the AI model that it serves.
      const model = createEngineModel({
        capacityTokens,
        maxBatch: ENGINE_SHAPE.maxBatch,
        baseStepMs: ENGINE_SHAPE.baseStepMs,
        sequenceStepMs: ENGINE_SHAPE.sequenceStepMs,
        prefillTokenMs: ENGINE_SHAPE.prefillTokenMs,
        speed,
        reportLagMs: options.fault === "stale" ? ENGINE_SHAPE.staleLagMs : ENGINE_SHAPE.freshLagMs,
        prefixCacheTokens: capacityTokens * ENGINE_SHAPE.prefixCacheShare,
      }, createSink(name));
      const owner = createOwnerState({
        upstream: name,
        maxBatch: ENGINE_SHAPE.maxBatch,
        capacityTokens,
        predictor: options.policy.createPredictor(),
        limitsGrants: options.policy.limitsGrants,
        nowMs: 0,
      });
      return {
        name,
        group: groupIndex,
        model,
        owner,
        granted: new Map(),
        wakeEventVersion: 0,
        waits: { urgentMs: 0, otherMs: 0 },
        waitsUpdatedMs: 0,
        choices: 0,
        leavingAtMs: Number.POSITIVE_INFINITY,
      };
    })
  );
}
