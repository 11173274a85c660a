import { expect } from "chai";
import { POLICIES } from "./policies.ts";
import type { PolicySpec } from "./policy_spec.ts";
import type { RunOptions } from "./run_options.ts";
import { runPolicy } from "./run_policy.ts";
import type { Scenario } from "./scenario.ts";
import { SCENARIOS } from "./scenarios.ts";

const OPTIONS: RunOptions = {
  scenario: SCENARIOS[1] as Scenario,
  policy: POLICIES[0] as PolicySpec,
  loadPercent: 85,
  fault: "none",
  declaredShare: 0,
  durationMs: 30_000,
  seed: 7,
};

describe("policy bench", () => {
  it("gives the same figures for the same seed, and others for another", () => {
    const first = runPolicy(OPTIONS);
    expect(runPolicy(OPTIONS)).to.deep.equal(first);
    expect(runPolicy({ ...OPTIONS, seed: 8 })).not.to.deep.equal(first);
  });

  for (const fault of ["none", "death", "reclaim", "stale"] as const) {
    it(`accounts for every request and repeats no token: fault ${fault}`, () => {
      const { kinds } = runPolicy({ ...OPTIONS, fault });
      for (const { kind, requests, inTime, late, refused, lost, duplicated } of kinds) {
        expect(inTime + late + refused + lost, kind).to.equal(requests);
        expect(duplicated, kind).to.equal(0);
      }
    });
  }

  it("sends nothing new to a leaving engine after a few seconds", () => {
    expect(runPolicy({ ...OPTIONS, fault: "reclaim" }).sentToLeaving).to.equal(0);
  });
});
