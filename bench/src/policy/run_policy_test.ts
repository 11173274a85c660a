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
  it("gives the same figures for the same seed and different ones for another seed", () => {
    const first = runPolicy(OPTIONS);
    expect(runPolicy(OPTIONS)).to.deep.equal(first);
    expect(runPolicy({ ...OPTIONS, seed: 8 })).not.to.deep.equal(first);
  });

  for (const fault of ["none", "death", "reclaim", "stale"] as const) {
    it(`accounts for every request and delivers no token twice: fault ${fault}`, () => {
      const { kinds } = runPolicy({ ...OPTIONS, fault });
      for (const { kind, requests, inTime, late, refused, lost, duplicated } of kinds) {
        expect(inTime + late + refused + lost, kind).to.equal(requests);
        expect(duplicated, kind).to.equal(0);
      }
    });
  }

  it("sends no new requests to a draining engine after the grace period", () => {
    expect(runPolicy({ ...OPTIONS, fault: "reclaim" }).sentToLeaving).to.equal(0);
  });
});
