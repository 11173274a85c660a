import { expect } from "chai";
import { decideRetry } from "../decide_retry.ts";
import { RETRY_MUTATIONS } from "./retry_mutations.ts";
import { exploreSchedules } from "./explore_schedules.ts";

describe("exploreSchedules", () => {
  it("finds no violation of an invariant by decideRetry", () => {
    const { schedules, faults } = exploreSchedules(decideRetry);
    console.log(`    ${schedules} schedules, ${Object.keys(RETRY_MUTATIONS).length} mutations`);
    expect(faults).to.deep.equal([]);
    expect(schedules).to.be.above(1_000);
  });

  for (const [title, rule] of Object.entries(RETRY_MUTATIONS)) {
    it(`detects the mutation: ${title}`, () => {
      expect(exploreSchedules(rule).faults).to.not.deep.equal([]);
    });
  }
});
