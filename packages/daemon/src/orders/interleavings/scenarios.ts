import type { ModelFaults, ModelScenario } from "./model_scenario.ts";

const NO_FAULTS: ModelFaults = {
  losses: 0,
  duplicates: 0,
  claimantCrashes: 0,
  restarts: 0,
  epochDrops: 0,
  earlyTimeouts: 0,
  lateResumes: 0,
  refusals: 0,
  brokenConnections: 0,
  handovers: 0,
};

function createScenario(
  name: string,
  faults: Partial<ModelFaults>,
  options: Partial<Omit<ModelScenario, "name" | "faults">> = {},
): ModelScenario {
  return {
    name,
    claimants: 2,
    replicas: 3,
    areAcksInstant: true,
    schedules: "exhaustive",
    ...options,
    faults: { ...NO_FAULTS, ...faults },
  };
}

const EVERY_FAULT: ModelFaults = {
  losses: 1,
  duplicates: 2,
  claimantCrashes: 1,
  restarts: 1,
  epochDrops: 1,
  earlyTimeouts: 2,
  lateResumes: 1,
  refusals: 2,
  brokenConnections: 1,
  handovers: 1,
};

const ONE_REPLICA = { replicas: 1 } as const;

/** Explorations of every CI run; they take seconds. */
const SHORT: readonly ModelScenario[] = [
  createScenario("one replica, a restart and a broken connection", {
    restarts: 1,
    brokenConnections: 1,
  }, ONE_REPLICA),
  createScenario("one replica, a dropped epoch", { epochDrops: 1 }, ONE_REPLICA),
  createScenario("one replica, refused connections", { refusals: 2 }, ONE_REPLICA),
  createScenario("one replica, a pause, a loss and a duplicate", {
    earlyTimeouts: 1,
    losses: 1,
    duplicates: 1,
  }, ONE_REPLICA),
  createScenario("sampled: two claimants, one replica hands over", {
    handovers: 1,
    losses: 1,
    earlyTimeouts: 3,
    duplicates: 2,
  }, { replicas: 1, schedules: 600, areAcksInstant: false }),
  createScenario("sampled: two claimants, every fault", EVERY_FAULT, {
    schedules: 1_000,
    areAcksInstant: false,
  }),
  createScenario("sampled: three claimants, every fault", EVERY_FAULT, {
    claimants: 3,
    schedules: 600,
    areAcksInstant: false,
  }),
  createScenario("one claimant, broken and refused connections", {
    brokenConnections: 1,
    refusals: 2,
    lateResumes: 1,
  }, {
    claimants: 1,
  }),
  createScenario("one claimant, a handover with a lost message", { handovers: 1, losses: 1 }, {
    claimants: 1,
    replicas: 1,
  }),
  createScenario("two replicas, a restart", { restarts: 1 }, {
    replicas: 2,
  }),
  createScenario("two replicas, a crashed claimant", { claimantCrashes: 1 }, { replicas: 2 }),
  createScenario("two replicas, a pause", { earlyTimeouts: 1 }, { replicas: 2 }),
  createScenario("two replicas, a duplicate", { duplicates: 1 }, { replicas: 2 }),
  createScenario("two replicas, a loss", { losses: 1 }, { replicas: 2 }),
  createScenario("three replicas, concurrent claims", {}),
];

/** Further explorations, which take minutes. */
const LONG: readonly ModelScenario[] = [
  createScenario("three replicas, a pause", { earlyTimeouts: 1 }),
  createScenario("three replicas, a restart", { restarts: 1 }),
  createScenario("three replicas, a dropped epoch", { epochDrops: 1 }),
  createScenario("three replicas, a crashed claimant", { claimantCrashes: 1 }),
  createScenario("three replicas, refused connections", { refusals: 2 }),
  createScenario("three replicas, a broken connection", { brokenConnections: 1 }),
  createScenario("sampled long: three claimants, every fault", EVERY_FAULT, {
    claimants: 3,
    schedules: 20_000,
    areAcksInstant: false,
  }),
];

/** Scenarios of the check; those that detect the most mutations come first. */
export const SCENARIOS = { short: SHORT, long: [...SHORT, ...LONG] } as const;
