import { expect } from "chai";
import { decideRetry } from "../decide_retry.ts";
import { RETRY_MUTATIONS } from "./retry_mutations.ts";
import { exploreSchedules } from "./explore_schedules.ts";

describe("schedules of attempts", () => {
  it("break no invariant by the daemon's rule", () => {
    const { schedules, faults } = exploreSchedules(decideRetry);
    console.log(`    ${schedules} schedules, ${Object.keys(RETRY_MUTATIONS).length} mutations`);
    expect(faults).to.deep.equal([]);
    expect(schedules).to.be.above(1_000);
  });

  for (const [title, rule] of Object.entries(RETRY_MUTATIONS)) {
    it(`catch the mutation: ${title}`, () => {
      expect(exploreSchedules(rule).faults).to.not.deep.equal([]);
    });
  }
});
