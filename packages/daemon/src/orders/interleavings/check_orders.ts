import { CLAIMANT_MUTATIONS } from "./claimant_mutations.ts";
import { createModelState } from "./create_model_state.ts";
import type { Exploration } from "./exploration.ts";
import { exploreSchedules } from "./explore_schedules.ts";
import { HANDOVER_MUTATIONS } from "./handover_mutations.ts";
import type { ModelScenario } from "./model_scenario.ts";
import type { Mutation } from "./mutation.ts";
import { ORDER_DECISIONS } from "./order_decisions.ts";
import type { OrderDecisions } from "./order_decisions.ts";
import { REPLICA_MUTATIONS } from "./replica_mutations.ts";
import { sampleSchedules } from "./sample_schedules.ts";
import { SCENARIOS } from "./scenarios.ts";

/** Result of {@link checkOrders}. */
export interface OrderCheckReport {
  readonly scenarios: readonly (Exploration & { readonly name: string })[];
  readonly mutations: readonly MutationResult[];
}

/** Whether a mutation was detected, with the scenario and the violated guarantee. */
export interface MutationResult {
  readonly name: string;
  readonly scenario?: string;
  readonly violation?: string;
}

const SEED = 5;

/** Explores every scenario with the real decisions, then each mutation in the short ones. */
export function checkOrders(
  scenarios: readonly ModelScenario[] = SCENARIOS.short,
): OrderCheckReport {
  const mutations = [...REPLICA_MUTATIONS, ...CLAIMANT_MUTATIONS, ...HANDOVER_MUTATIONS];
  return {
    scenarios: scenarios.map((scenario) => ({
      name: scenario.name,
      ...exploreScenario(scenario, ORDER_DECISIONS),
    })),
    mutations: mutations.map((mutation) => checkMutation(mutation, SCENARIOS.short)),
  };
}

function checkMutation(mutation: Mutation, scenarios: readonly ModelScenario[]): MutationResult {
  const decisions = mutation.apply(ORDER_DECISIONS);
  for (const scenario of scenarios) {
    const { violation } = exploreScenario(scenario, decisions);
    if (violation !== undefined) {
      return { name: mutation.name, scenario: scenario.name, violation };
    }
  }
  return { name: mutation.name };
}

function exploreScenario(scenario: ModelScenario, decisions: OrderDecisions): Exploration {
  const model = createModelState(scenario);
  return scenario.schedules === "exhaustive"
    ? exploreSchedules(model, decisions)
    : sampleSchedules(model, decisions, { schedules: scenario.schedules, seed: SEED });
}
