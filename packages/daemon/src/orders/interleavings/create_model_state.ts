import { createClaimantState } from "../create_claimant_state.ts";
import type { ModelScenario } from "./model_scenario.ts";
import type { ModelProcess, ModelReplica, ModelState } from "./model_state.ts";

const SUCCESSORS = 3;
const UPSTREAMS = 2;

/** Creates the initial model state of a scenario. */
export function createModelState(scenario: ModelScenario): ModelState {
  const { replicas, claimants, faults } = scenario;
  return {
    replicas: Array.from({ length: replicas }, createReplica),
    claimants: Array.from({ length: claimants }, (_, claimant) => ({
      state: createClaimantState({
        claim: `c${claimant}`,
        digest: "d",
        replicas,
        upstreams: UPSTREAMS,
      }),
      isStarted: false,
      isCrashed: false,
      isLate: false,
    })),
    network: [],
    faults,
    areAcksInstant: scenario.areAcksInstant,
    dispatchCount: 0,
    isNotRunReported: false,
    isCompletionReported: false,
  };
}

function createReplica(): ModelReplica {
  const process: ModelProcess = {
    duty: { incarnation: "i", epoch: 1, oldestEpoch: 0, isFrozen: false, isFull: false },
    record: undefined,
  };
  return {
    process,
    handover: {
      phase: "serving",
      candidates: [],
      successor: "",
      commitSends: 0,
      isTransferred: false,
    },
    successors: Array.from({ length: SUCCESSORS }, () => ({
      adoption: { phase: "none", transfer: "", frames: 0 } as const,
      process,
    })),
    areRecordsLost: false,
  };
}
